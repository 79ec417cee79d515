package org.cornelway.pgm;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/** Chooses the log's form and level before the first logger is made. */
final class Logging {
    private Logging() {}

    /** Structured lines for a process that must start fast. */
    static void configureEvents(String level) {
        delegate();
        Configurator.initialize(new EventLogConfiguration(Level.toLevel(level, Level.INFO)));
    }

    static void configure(String format, String level) {
        System.setProperty("log4j2.configurationFile", "log4j2-" + format + ".xml");
        System.setProperty("cornelway.log.level", level);
        delegate();
    }

    private static void delegate() {
        System.setProperty(
                "vertx.logger-delegate-factory-class-name",
                "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }
}
