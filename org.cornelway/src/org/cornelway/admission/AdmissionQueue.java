package org.cornelway.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cornelway.invariant.Invariants;
import org.cornelway.result.Refusal;
import org.cornelway.result.ResultCode;
import org.cornelway.time.Deadline;

/**
 * Holds the work that waits at one backend server and says what starts next.
 *
 * <p>Invariants: each request leaves exactly once, by starting, expiring or withdrawal; no more run
 * than the capacity. Not thread-safe; confined to the control thread.
 */
public final class AdmissionQueue {
    private static final double SERVICE_TIME_WEIGHT = 0.1;

    private final QueuePolicy mPolicy;
    private final Invariants mInvariants;
    private final int mCapacity;
    private final int mMaxWaiting;
    private final Map<String, QueuedRequest> mWaiting = new LinkedHashMap<>();
    private final Map<String, Started> mActive = new HashMap<>();
    private double mDeferredShare = 1;
    private double mServiceMillis;

    private record Started(QueuedRequest work, long startedMillis, boolean bounded) {}

    /**
     * @param capacity requests that run at once
     * @param maxWaiting requests that wait at most
     */
    public AdmissionQueue(QueuePolicy policy, int capacity, int maxWaiting, Invariants invariants) {
        mPolicy = policy;
        mCapacity = capacity;
        mMaxWaiting = maxWaiting;
        mInvariants = invariants;
    }

    /** Sets the share of the capacity that deferred work may take, 0 to 1. */
    public void setDeferredShare(double share) {
        mDeferredShare = share;
    }

    /** Admits work; returns the refusal if it cannot be served in time. */
    public Optional<Refusal> offer(QueuedRequest work, long nowMillis) {
        if (work.deadline().isPast(nowMillis)) {
            return refuse(ResultCode.DEADLINE_PASSED, "deadline passed before arrival");
        }
        if (mWaiting.size() >= mMaxWaiting) {
            return refuse(
                    ResultCode.QUEUE_FULL, mWaiting.size() + " waiting, at most " + mMaxWaiting);
        }
        long expectedMillis = expectedWaitMillis(work, nowMillis);
        long remainingMillis = work.deadline().remainingMillis(nowMillis);
        if (expectedMillis > remainingMillis) {
            return refuse(
                    ResultCode.DEADLINE_INFEASIBLE,
                    "expected wait " + expectedMillis + " ms, " + remainingMillis + " ms left");
        }
        mInvariants.check(
                mWaiting.put(work.requestId(), work) == null,
                "request " + work.requestId() + " waits twice");
        return Optional.empty();
    }

    private static Optional<Refusal> refuse(ResultCode code, String message) {
        return Optional.of(Refusal.of(code, message));
    }

    private long expectedWaitMillis(QueuedRequest work, long nowMillis) {
        Comparator<QueuedRequest> order = mPolicy.order(nowMillis);
        long ahead =
                mWaiting.values().stream().filter(other -> order.compare(other, work) < 0).count();
        long busy = Math.max(0, ahead + mActive.size() - mCapacity + 1);
        return (long) (busy * mServiceMillis / mCapacity);
    }

    /**
     * Takes the next work that can start.
     *
     * @param canStart whether what the work needs is loaded
     */
    public Optional<QueuedRequest> startNext(Predicate<QueuedRequest> canStart, long nowMillis) {
        if (mActive.size() >= mCapacity) {
            return Optional.empty();
        }
        boolean boundedFull = boundedActive() >= Math.max(1, mCapacity * mDeferredShare);
        Optional<QueuedRequest> next =
                mWaiting.values().stream()
                        .filter(work -> !work.deadline().isPast(nowMillis))
                        .filter(
                                work ->
                                        !boundedFull
                                                || !mPolicy.countsAgainstDeferredShare(
                                                        work, nowMillis))
                        .filter(canStart)
                        .min(mPolicy.order(nowMillis));
        next.ifPresent(work -> start(work, nowMillis));
        return next;
    }

    private void start(QueuedRequest work, long nowMillis) {
        mWaiting.remove(work.requestId());
        boolean bounded = mPolicy.countsAgainstDeferredShare(work, nowMillis);
        mActive.put(work.requestId(), new Started(work, nowMillis, bounded));
        mInvariants.check(
                mActive.size() <= mCapacity, mActive.size() + " run, at most " + mCapacity);
    }

    private long boundedActive() {
        return mActive.values().stream().filter(Started::bounded).count();
    }

    /** Notes that started work ended. */
    public void finish(String requestId, long nowMillis) {
        Started started = mActive.remove(requestId);
        mInvariants.check(started != null, "request " + requestId + " ended but was not running");
        if (started != null) {
            double took = nowMillis - started.startedMillis();
            mServiceMillis += SERVICE_TIME_WEIGHT * (took - mServiceMillis);
        }
    }

    /** Takes waiting work out; true if it was waiting. */
    public boolean withdraw(String requestId) {
        return mWaiting.remove(requestId) != null;
    }

    /** Takes out all waiting work whose deadline has passed. */
    public List<QueuedRequest> removeExpired(long nowMillis) {
        List<QueuedRequest> expired = new ArrayList<>();
        for (QueuedRequest work : mWaiting.values()) {
            if (work.deadline().isPast(nowMillis)) {
                expired.add(work);
            }
        }
        expired.forEach(work -> mWaiting.remove(work.requestId()));
        return expired;
    }

    /** The work that waits. */
    public Collection<QueuedRequest> waiting() {
        return mWaiting.values();
    }

    /** Number of requests running. */
    public int active() {
        return mActive.size();
    }

    /** Requests that run at once. */
    public int capacity() {
        return mCapacity;
    }

    /** The earliest deadline of waiting work. */
    public Optional<Deadline> earliestDeadline() {
        return mWaiting.values().stream().map(QueuedRequest::deadline).min(Deadline::compareTo);
    }
}
