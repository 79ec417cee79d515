package org.cornelway.eventlog;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.time.Clock;

/**
 * Writes structured lines in the form {@code event=NAME key=value ...}.
 *
 * <p>Each event name may write {@link #LINES_PER_SECOND} lines in a second, then one summary of
 * what was left out; all that is left out is counted. The appender drops lines rather than wait.
 * Thread-safe.
 */
public final class EventLog {
    /** Lines of one event name in a second; keeps a process below some 50 KB of log a second. */
    public static final int LINES_PER_SECOND = 40;

    private static final Logger LOG = LogManager.getLogger("org.cornelway.event");
    private static final long SECOND_MILLIS = 1_000;

    private final Clock mClock;
    private final MetricRegistry mMetrics;
    private final Map<String, Window> mWindows = new ConcurrentHashMap<>();

    /** Lines of one event name in the current second; guarded by itself. */
    private static final class Window {
        private long mSecond;
        private int mLines;
        private int mDropped;
    }

    /**
     * @param metrics registry that gets the counters {@code log.dropped} and {@code events.*}
     */
    public EventLog(Clock clock, MetricRegistry metrics) {
        mClock = clock;
        mMetrics = metrics;
    }

    /**
     * Writes a line.
     *
     * @param event name of the event
     * @param fields names and values by turns
     */
    public void write(String event, Object... fields) {
        mMetrics.counter("events." + event).inc();
        int dropped = admit(event);
        if (dropped < 0) {
            mMetrics.counter("log.dropped").inc();
            return;
        }
        StringBuilder line = new StringBuilder(160).append("event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            append(line, String.valueOf(fields[i + 1]));
        }
        if (dropped > 0) {
            line.append(" left_out_before=").append(dropped);
        }
        LOG.info(line);
    }

    /** Lines left out since the last one, or -1 if this one is left out too. */
    private int admit(String event) {
        Window window = mWindows.computeIfAbsent(event, key -> new Window());
        long second = mClock.nowMillis() / SECOND_MILLIS;
        synchronized (window) {
            if (window.mSecond != second) {
                window.mSecond = second;
                window.mLines = 0;
            }
            if (window.mLines >= LINES_PER_SECOND) {
                window.mDropped++;
                return -1;
            }
            window.mLines++;
            int dropped = window.mDropped;
            window.mDropped = 0;
            return dropped;
        }
    }

    private static void append(StringBuilder line, String value) {
        boolean plain = !value.isEmpty() && value.indexOf(' ') < 0 && value.indexOf('"') < 0;
        if (plain) {
            line.append(value);
        } else {
            line.append('"').append(value.replace('"', '\'').replace('\n', ' ')).append('"');
        }
    }
}
