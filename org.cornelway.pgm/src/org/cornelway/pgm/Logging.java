package org.cornelway.pgm;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configurator;

/** Configures log format and level; must be called before the first logger is created. */
final class Logging {
    /** The context of the event log. Log4j itself holds a context weakly until a logger is made. */
    private static LoggerContext sEventLogContext;

    private Logging() {}

    /**
     * Configures log lines of key=value pairs without a configuration file, so that the process
     * starts faster.
     *
     * @param level minimum level; an unknown level is treated as info
     */
    static void configureEventLog(String level) {
        useSlf4jForVertx();
        sEventLogContext =
                Configurator.initialize(
                        new EventLogConfiguration(Level.toLevel(level, Level.INFO)));
    }

    /**
     * Configures logging from one of the bundled configuration files.
     *
     * @param format {@code text} or {@code json}, selects the file
     * @param level minimum level of the system's own loggers
     */
    static void configure(String format, String level) {
        System.setProperty("log4j2.configurationFile", "log4j2-" + format + ".xml");
        System.setProperty("cornelway.log.level", level);
        useSlf4jForVertx();
    }

    private static void useSlf4jForVertx() {
        System.setProperty(
                "vertx.logger-delegate-factory-class-name",
                "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }
}
