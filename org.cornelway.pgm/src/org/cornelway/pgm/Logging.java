package org.cornelway.pgm;

/** Chooses the log's form and level before the first logger is made. */
final class Logging {
    private Logging() {}

    static void configure(String format, String level) {
        System.setProperty("log4j2.configurationFile", "log4j2-" + format + ".xml");
        System.setProperty("cornelway.log.level", level);
        System.setProperty(
                "vertx.logger-delegate-factory-class-name",
                "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }
}
