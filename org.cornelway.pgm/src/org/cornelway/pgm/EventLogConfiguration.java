package org.cornelway.pgm;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Logs to standard output without ever waiting for it: lines are dropped when nobody reads.
 *
 * <p>Built without the log library's plugins, whose loading would delay the start of a process.
 * Used by the library under its own locks.
 */
final class EventLogConfiguration extends AbstractConfiguration {
    /** Lines that wait for standard output; some seconds of what a process may write. */
    private static final int BUFFERED_LINES = 1_024;

    private static final String CONSOLE = "out";
    private static final String ASYNC = "async";
    private static final String OWN_LOGGERS = "org.cornelway";

    private final Level mLevel;

    /**
     * @param level least level of the project's own lines; other libraries write errors only
     */
    EventLogConfiguration(Level level) {
        super(null, ConfigurationSource.NULL_SOURCE);
        mLevel = level;
        isShutdownHookEnabled = false;
    }

    @Override
    public void initialize() {
        doConfigure();
        setState(State.INITIALIZED);
    }

    @Override
    protected void doConfigure() {
        Appender console =
                ConsoleAppender.newBuilder()
                        .setName(CONSOLE)
                        .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                        .setDirect(true)
                        .setLayout(new EventLineLayout())
                        .setConfiguration(this)
                        .build();
        addAppender(console);
        Appender async =
                AsyncAppender.newBuilder()
                        .setName(ASYNC)
                        .setBlocking(false)
                        .setBufferSize(BUFFERED_LINES)
                        .setIncludeLocation(false)
                        .setAppenderRefs(
                                new AppenderRef[] {
                                    AppenderRef.createAppenderRef(CONSOLE, null, null)
                                })
                        .setConfiguration(this)
                        .build();
        addAppender(async);
        getRootLogger().setLevel(Level.ERROR);
        getRootLogger().addAppender(async, null, null);
        addLogger(OWN_LOGGERS, new LoggerConfig(OWN_LOGGERS, mLevel, true));
        setParents();
    }

    private void setParents() {
        getLoggers().values().stream()
                .filter(logger -> logger != getRootLogger())
                .forEach(logger -> logger.setParent(getRootLogger()));
    }
}
