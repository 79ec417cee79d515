package org.cornelway.admission;

import java.util.Comparator;

/**
 * Interactive work first, earliest deadline first within a class; deferred work whose deadline is
 * near counts as interactive, so that it arrives.
 *
 * <p>Stateless and thread-safe.
 */
public final class ClassDeadlineQueuePolicy implements QueuePolicy {
    private final long mUrgentMillis;

    /**
     * @param urgentMillis time before its deadline from which deferred work is urgent
     */
    public ClassDeadlineQueuePolicy(long urgentMillis) {
        mUrgentMillis = urgentMillis;
    }

    @Override
    public Comparator<QueuedRequest> order(long nowMillis) {
        return Comparator.comparing(
                        (QueuedRequest work) -> countsAgainstDeferredShare(work, nowMillis))
                .thenComparing(QueuedRequest::deadline)
                .thenComparing(QueuedRequest::requestId);
    }

    @Override
    public boolean countsAgainstDeferredShare(QueuedRequest work, long nowMillis) {
        return work.queueClass() == QueueClass.DEFERRED
                && work.deadline().remainingMillis(nowMillis) > mUrgentMillis;
    }
}
