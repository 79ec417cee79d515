package org.cornelway.admission;

import java.util.Comparator;

/** Orders requests by arrival. Baseline for comparisons. Stateless and thread-safe. */
public final class FifoQueuePolicy implements QueuePolicy {
    private static final Comparator<QueuedRequest> ORDER =
            Comparator.comparingLong(QueuedRequest::arrivedMillis)
                    .thenComparing(QueuedRequest::requestId);

    @Override
    public Comparator<QueuedRequest> comparator(long nowMillis) {
        return ORDER;
    }

    @Override
    public boolean countsAgainstDeferredShare(QueuedRequest request, long nowMillis) {
        return false;
    }
}
