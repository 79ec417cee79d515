package org.cornelway.admission;

import java.util.Comparator;

/** Decides which waiting request starts first. Implementations are immutable and thread-safe. */
public interface QueuePolicy {
    /**
     * Returns the order of waiting requests at a point in time; the first one starts next.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     */
    Comparator<QueuedRequest> comparator(long nowMillis);

    /**
     * Whether a request counts against the share of a backend server's capacity that deferred
     * requests may take.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     */
    boolean countsAgainstDeferredShare(QueuedRequest request, long nowMillis);
}
