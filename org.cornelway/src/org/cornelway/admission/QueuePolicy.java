package org.cornelway.admission;

import java.util.Comparator;

/** Decides which waiting work starts first. Implementations are stateless and thread-safe. */
public interface QueuePolicy {
    /** The order at a point in time; first is next. */
    Comparator<QueuedRequest> order(long nowMillis);

    /**
     * Whether work counts against the share that deferred work may take of a backend server.
     *
     * @param nowMillis the time now
     */
    boolean countsAgainstDeferredShare(QueuedRequest work, long nowMillis);
}
