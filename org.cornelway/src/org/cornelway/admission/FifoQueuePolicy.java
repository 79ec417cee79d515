package org.cornelway.admission;

import java.util.Comparator;

/** First come, first served; the baseline. Stateless and thread-safe. */
public final class FifoQueuePolicy implements QueuePolicy {
    private static final Comparator<WaitingWork> ORDER =
            Comparator.comparingLong(WaitingWork::arrivedMillis)
                    .thenComparing(WaitingWork::requestId);

    @Override
    public Comparator<WaitingWork> order(long nowMillis) {
        return ORDER;
    }

    @Override
    public boolean isBounded(WaitingWork work, long nowMillis) {
        return false;
    }
}
