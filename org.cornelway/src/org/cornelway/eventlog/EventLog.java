package org.cornelway.eventlog;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.time.Clock;

/**
 * Writes structured log lines in the form {@code event=NAME key=value ...}.
 *
 * <p>At most {@link #LINES_PER_SECOND} lines of each event name are written in a second. The lines
 * left out are counted, and the next line of that event states their number. If the appender cannot
 * keep up, it drops lines instead of blocking the caller. Thread-safe.
 */
public final class EventLog {
    /**
     * Maximum number of lines of one event name in a second; keeps a process below about 50 KB of
     * log per second.
     */
    public static final int LINES_PER_SECOND = 40;

    private static final Logger LOG = LogManager.getLogger("org.cornelway.event");
    private static final long SECOND_MILLIS = 1_000;

    private final Clock mClock;
    private final MetricRegistry mMetrics;
    private final Map<String, Window> mWindows = new ConcurrentHashMap<>();

    /** Counts the lines of one event name in the current second. Guarded by its own monitor. */
    private static final class Window {
        private long mSecond;
        private int mLines;
        private int mLeftOut;
    }

    /**
     * @param metrics registry that gets the counters {@code log.dropped} and {@code events.*}
     */
    public EventLog(Clock clock, MetricRegistry metrics) {
        mClock = clock;
        mMetrics = metrics;
    }

    /**
     * Writes a line, or counts it as left out if the event has reached its limit for this second.
     *
     * @param event name of the event
     * @param fields alternating names and values; a name without a value at the end is ignored
     */
    public void write(String event, Object... fields) {
        mMetrics.counter("events." + event).inc();
        int leftOut = countLine(event);
        if (leftOut < 0) {
            mMetrics.counter("log.dropped").inc();
            return;
        }
        StringBuilder line = new StringBuilder(160).append("event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, String.valueOf(fields[i + 1]));
        }
        if (leftOut > 0) {
            line.append(" left_out_before=").append(leftOut);
        }
        LOG.info(line);
    }

    /**
     * Counts a line of an event. Returns the number of lines left out since the last one written,
     * or -1 if this one is left out too.
     */
    private int countLine(String event) {
        Window window = mWindows.computeIfAbsent(event, key -> new Window());
        long second = mClock.nowMillis() / SECOND_MILLIS;
        synchronized (window) {
            if (window.mSecond != second) {
                window.mSecond = second;
                window.mLines = 0;
            }
            if (window.mLines >= LINES_PER_SECOND) {
                window.mLeftOut++;
                return -1;
            }
            window.mLines++;
            int leftOut = window.mLeftOut;
            window.mLeftOut = 0;
            return leftOut;
        }
    }

    private static void appendValue(StringBuilder line, String value) {
        boolean needsNoQuotes =
                !value.isEmpty() && value.indexOf(' ') < 0 && value.indexOf('"') < 0;
        if (needsNoQuotes) {
            line.append(value);
        } else {
            line.append('"').append(value.replace('"', '\'').replace('\n', ' ')).append('"');
        }
    }
}
