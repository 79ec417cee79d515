package org.cornelway.admission;

import java.util.Comparator;

/**
 * Orders interactive requests before deferred ones, and by earliest deadline within a class. A
 * deferred request whose deadline is near counts as interactive, so that it completes in time.
 *
 * <p>Immutable and thread-safe.
 */
public final class ClassDeadlineQueuePolicy implements QueuePolicy {
    private final long mUrgentMillis;

    /**
     * @param urgentMillis a deferred request counts as interactive once its deadline is at most
     *     this far away
     */
    public ClassDeadlineQueuePolicy(long urgentMillis) {
        mUrgentMillis = urgentMillis;
    }

    @Override
    public Comparator<QueuedRequest> comparator(long nowMillis) {
        return Comparator.comparing(
                        (QueuedRequest request) -> countsAgainstDeferredShare(request, nowMillis))
                .thenComparing(QueuedRequest::deadline)
                .thenComparing(QueuedRequest::requestId);
    }

    @Override
    public boolean countsAgainstDeferredShare(QueuedRequest request, long nowMillis) {
        return request.queueClass() == QueueClass.DEFERRED
                && request.deadline().remainingMillis(nowMillis) > mUrgentMillis;
    }
}
