package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Checks the deadlines of all connections from callers.
 *
 * <p>Invariant: an exception or error of one connection ends the call of that connection and leaves
 * the others alone. Confined to the traffic thread.
 */
final class ConnectionSweep {
    private static final Logger LOG = LogManager.getLogger(ConnectionSweep.class);

    private final MetricRegistry mMetrics;

    /** A connection that is checked periodically. */
    interface Connection {
        /** Checks the deadlines. */
        void tick();

        /** Whether a request is being received or handled. */
        boolean isBusy();

        /** Closes the connection without completing its response. */
        void abort();
    }

    ConnectionSweep(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    /** Checks each connection once; returns how many of them are busy. */
    int tickAll(Set<? extends Connection> connections) {
        int busy = 0;
        for (Connection connection : List.copyOf(connections)) {
            tick(connection);
            busy += connection.isBusy() ? 1 : 0;
        }
        return busy;
    }

    private void tick(Connection connection) {
        try {
            connection.tick();
        } catch (RuntimeException | Error e) {
            mMetrics.counter("callers.faults").inc();
            LOG.error("a call is ended because of an unexpected error", e);
            connection.abort();
        }
    }
}
