package org.cornelway.dispatch;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides whether a call would wait too long in the queue of every engine that holds its model.
 *
 * <p>Meant for a model that many callers want at once while few engines hold it: without a limit
 * the queue grows until its calls are abandoned before they begin, and the engine's work is lost. A
 * call that is refused at once can return when the queue is shorter or more engines hold the model.
 * Pure and thread-safe.
 */
public final class EngineQueuePolicy {
    /** Share of the time until its caller leaves that a call may wait in an engine's queue. */
    private static final double WAIT_SHARE = 0.5;

    private EngineQueuePolicy() {}

    /**
     * Returns the expected wait in the shortest queue if it is too long, else empty.
     *
     * @param candidates engines that hold the model
     * @param callMillis typical time that a running call takes
     * @param patienceMillis time until the caller abandons the call
     */
    public static OptionalLong excessiveWaitMillis(
            List<Candidate> candidates, double callMillis, long patienceMillis) {
        long shortest = shortestWaitMillis(candidates, callMillis);
        return shortest > longestWaitMillis(patienceMillis)
                ? OptionalLong.of(shortest)
                : OptionalLong.empty();
    }

    /** Returns the expected wait in the shortest queue; 0 if there are no candidates. */
    public static long shortestWaitMillis(List<Candidate> candidates, double callMillis) {
        return candidates.stream()
                .mapToLong(candidate -> expectedWaitMillis(candidate, callMillis))
                .min()
                .orElse(0);
    }

    /** Returns the longest wait that is not too long. */
    public static long longestWaitMillis(long patienceMillis) {
        return (long) (WAIT_SHARE * patienceMillis);
    }

    /** Returns the time until a slot becomes free for a call that is sent now. */
    private static long expectedWaitMillis(Candidate candidate, double callMillis) {
        int slots = candidate.server().slots();
        int requests = Math.max(candidate.inFlight(), candidate.reportedRequests());
        int waiting = Math.max(0, requests - slots);
        return (long) (callMillis * candidate.slowness() * waiting / slots);
    }
}
