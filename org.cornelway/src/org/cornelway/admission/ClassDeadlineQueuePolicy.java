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
    public Comparator<WaitingWork> order(long nowMillis) {
        return Comparator.comparing((WaitingWork work) -> isBounded(work, nowMillis))
                .thenComparing(WaitingWork::deadline)
                .thenComparing(WaitingWork::requestId);
    }

    @Override
    public boolean isBounded(WaitingWork work, long nowMillis) {
        return work.workClass() == WorkClass.DEFERRED
                && work.deadline().remainingMillis(nowMillis) > mUrgentMillis;
    }
}
