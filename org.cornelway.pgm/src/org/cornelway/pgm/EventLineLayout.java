package org.cornelway.pgm;

import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/**
 * Writes a log event as one line of {@code key=value} pairs.
 *
 * <p>{@code ts} is the time in milliseconds since the epoch. A pattern layout would do the same,
 * but parsing a pattern loads every Log4j plugin, which delays the start, and a process that
 * restarts after a power failure must serve calls soon. Thread-safe.
 */
final class EventLineLayout extends AbstractStringLayout {
    private static final int INITIAL_LINE_CHARS = 200;

    EventLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
        line.append("ts=").append(event.getTimeMillis());
        line.append(" level=").append(event.getLevel().name());
        line.append(" thread=").append(event.getThreadName());
        line.append(' ').append(event.getMessage().getFormattedMessage());
        if (event.getThrown() != null) {
            line.append(" error=\"").append(event.getThrown()).append('"');
        }
        return line.append('\n').toString();
    }
}
