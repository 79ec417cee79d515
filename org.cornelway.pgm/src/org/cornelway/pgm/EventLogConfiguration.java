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
 * Logs to standard output asynchronously and drops lines when the buffer is full.
 *
 * <p>Therefore the process does not block if the reader of its standard output stops reading. The
 * configuration is built without Log4j plugins, because loading them would delay the start of a
 * process. Log4j calls this class under its own locks.
 */
final class EventLogConfiguration extends AbstractConfiguration {
    /** Capacity of the buffer in lines, enough for what a process logs in a few seconds. */
    private static final int BUFFER_CAPACITY = 1_024;

    private static final String CONSOLE_APPENDER = "out";
    private static final String ASYNC_APPENDER = "async";
    private static final String PROJECT_LOGGER = "org.cornelway";

    private final Level mLevel;

    /**
     * @param level minimum level of the project's loggers; other loggers log only errors
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
                        .setName(CONSOLE_APPENDER)
                        .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                        .setDirect(true)
                        .setLayout(new EventLineLayout())
                        .setConfiguration(this)
                        .build();
        addAppender(console);
        Appender async =
                AsyncAppender.newBuilder()
                        .setName(ASYNC_APPENDER)
                        .setBlocking(false)
                        .setBufferSize(BUFFER_CAPACITY)
                        .setIncludeLocation(false)
                        .setAppenderRefs(
                                new AppenderRef[] {
                                    AppenderRef.createAppenderRef(CONSOLE_APPENDER, null, null)
                                })
                        .setConfiguration(this)
                        .build();
        addAppender(async);
        getRootLogger().setLevel(Level.ERROR);
        getRootLogger().addAppender(async, null, null);
        addLogger(PROJECT_LOGGER, new LoggerConfig(PROJECT_LOGGER, mLevel, true));
        setParents();
    }

    private void setParents() {
        getLoggers().values().stream()
                .filter(logger -> logger != getRootLogger())
                .forEach(logger -> logger.setParent(getRootLogger()));
    }
}
