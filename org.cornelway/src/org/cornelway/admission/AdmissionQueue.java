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
 * Queue of the requests that wait at one backend server; selects the request that starts next.
 *
 * <p>Invariants: each request leaves the queue exactly once, by starting, expiring or withdrawal;
 * no more requests run than the capacity allows. Not thread-safe; confined to the control thread.
 */
public final class AdmissionQueue {
    /** Weight of the latest request in the moving average of the service time. */
    private static final double SERVICE_TIME_WEIGHT = 0.1;

    private final QueuePolicy mPolicy;
    private final Invariants mInvariants;
    private final int mCapacity;
    private final int mMaxWaiting;
    private final Map<String, QueuedRequest> mWaiting = new LinkedHashMap<>();
    private final Map<String, RunningRequest> mRunning = new HashMap<>();
    private double mDeferredShare = 1;
    private double mAverageServiceMillis;

    /**
     * A running request.
     *
     * @param countsAgainstDeferredShare whether it counts against the deferred share, as decided
     *     when it started
     */
    private record RunningRequest(
            QueuedRequest request, long startedMillis, boolean countsAgainstDeferredShare) {}

    /**
     * @param capacity maximum number of requests that run concurrently
     * @param maxWaiting maximum number of waiting requests
     */
    public AdmissionQueue(QueuePolicy policy, int capacity, int maxWaiting, Invariants invariants) {
        mPolicy = policy;
        mCapacity = capacity;
        mMaxWaiting = maxWaiting;
        mInvariants = invariants;
    }

    /**
     * Sets the share of the capacity that deferred requests may take, 0 to 1. One deferred request
     * may run even if the share is less than one request.
     */
    public void setDeferredShare(double share) {
        mDeferredShare = share;
    }

    /**
     * Admits a request to the queue, or refuses it if the queue is full, the deadline has passed or
     * the request is not expected to start before its deadline.
     *
     * @return the refusal, or empty if the request was admitted
     */
    public Optional<Refusal> admit(QueuedRequest request, long nowMillis) {
        if (request.deadline().isPast(nowMillis)) {
            return refuse(ResultCode.DEADLINE_PASSED, "deadline passed before arrival");
        }
        if (mWaiting.size() >= mMaxWaiting) {
            return refuse(
                    ResultCode.QUEUE_FULL, mWaiting.size() + " waiting, at most " + mMaxWaiting);
        }
        long expectedMillis = expectedWaitMillis(request, nowMillis);
        long remainingMillis = request.deadline().remainingMillis(nowMillis);
        if (expectedMillis > remainingMillis) {
            return refuse(
                    ResultCode.DEADLINE_INFEASIBLE,
                    "expected wait " + expectedMillis + " ms, " + remainingMillis + " ms left");
        }
        mInvariants.check(
                mWaiting.put(request.requestId(), request) == null,
                "request " + request.requestId() + " is already waiting");
        return Optional.empty();
    }

    private static Optional<Refusal> refuse(ResultCode code, String message) {
        return Optional.of(Refusal.of(code, message));
    }

    private long expectedWaitMillis(QueuedRequest request, long nowMillis) {
        Comparator<QueuedRequest> order = mPolicy.comparator(nowMillis);
        long ahead =
                mWaiting.values().stream()
                        .filter(other -> order.compare(other, request) < 0)
                        .count();
        long mustEndFirst = Math.max(0, ahead + mRunning.size() - mCapacity + 1);
        return (long) (mustEndFirst * mAverageServiceMillis / mCapacity);
    }

    /**
     * Selects the next request that can start, removes it from the queue and counts it as running.
     *
     * @param canStart whether the model and adapter that a request needs are loaded
     * @return the request, or empty if none can start now
     */
    public Optional<QueuedRequest> startNext(Predicate<QueuedRequest> canStart, long nowMillis) {
        if (mRunning.size() >= mCapacity) {
            return Optional.empty();
        }
        boolean isDeferredShareUsedUp =
                runningDeferredCount() >= Math.max(1, mCapacity * mDeferredShare);
        Optional<QueuedRequest> next =
                mWaiting.values().stream()
                        .filter(request -> !request.deadline().isPast(nowMillis))
                        .filter(
                                request ->
                                        !isDeferredShareUsedUp
                                                || !mPolicy.countsAgainstDeferredShare(
                                                        request, nowMillis))
                        .filter(canStart)
                        .min(mPolicy.comparator(nowMillis));
        next.ifPresent(request -> start(request, nowMillis));
        return next;
    }

    private void start(QueuedRequest request, long nowMillis) {
        mWaiting.remove(request.requestId());
        boolean countsAgainstDeferredShare = mPolicy.countsAgainstDeferredShare(request, nowMillis);
        mRunning.put(
                request.requestId(),
                new RunningRequest(request, nowMillis, countsAgainstDeferredShare));
        mInvariants.check(
                mRunning.size() <= mCapacity,
                mRunning.size() + " requests running, limit is " + mCapacity);
    }

    private long runningDeferredCount() {
        return mRunning.values().stream()
                .filter(RunningRequest::countsAgainstDeferredShare)
                .count();
    }

    /** Records that a running request has ended. */
    public void finish(String requestId, long nowMillis) {
        RunningRequest finished = mRunning.remove(requestId);
        mInvariants.check(finished != null, "request " + requestId + " ended but was not running");
        if (finished != null) {
            double durationMillis = nowMillis - finished.startedMillis();
            mAverageServiceMillis += SERVICE_TIME_WEIGHT * (durationMillis - mAverageServiceMillis);
        }
    }

    /** Removes a waiting request; returns whether it was waiting. */
    public boolean withdraw(String requestId) {
        return mWaiting.remove(requestId) != null;
    }

    /** Removes and returns all waiting requests whose deadline has passed. */
    public List<QueuedRequest> removeExpired(long nowMillis) {
        List<QueuedRequest> expired = new ArrayList<>();
        for (QueuedRequest request : mWaiting.values()) {
            if (request.deadline().isPast(nowMillis)) {
                expired.add(request);
            }
        }
        expired.forEach(request -> mWaiting.remove(request.requestId()));
        return expired;
    }

    /** Returns a live view of the waiting requests, in the order of their admission. */
    public Collection<QueuedRequest> waiting() {
        return mWaiting.values();
    }

    /** Returns the number of running requests. */
    public int runningCount() {
        return mRunning.size();
    }

    /** Returns the maximum number of requests that run concurrently. */
    public int capacity() {
        return mCapacity;
    }

    /** Returns the earliest deadline of the waiting requests, or empty if none is waiting. */
    public Optional<Deadline> earliestDeadline() {
        return mWaiting.values().stream().map(QueuedRequest::deadline).min(Deadline::compareTo);
    }
}
