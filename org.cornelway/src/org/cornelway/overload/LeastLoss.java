package org.cornelway.overload;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cornelway.dispatch.EngineQueuePolicy;
import org.cornelway.time.Deadline;

/**
 * Delays or refuses the calls for which this costs their callers least.
 *
 * <p>Meant for a burst in one kind of call, or of a few customers, that takes more than the servers
 * of a service have. While a server has a free slot, each call is sent as in order of arrival. Then
 * a call is sent as long as it can be expected to begin within its objective, unless it is beyond
 * its customer's share or its kind is served more often than it should be; engines serve a call
 * later that loses little by it. Other calls wait here for a short time and are then refused; if
 * too many wait, the one with the lowest loss gives way. Pure and thread-safe.
 */
public final class LeastLoss implements OverloadPolicy {
    /**
     * Longest wait of a call here. It covers the delay of the servers' load reports; a longer one
     * would leave slots unused.
     */
    static final long MAX_HELD_MILLIS = 100;

    /** Part of the time to its objective that a call may wait here. */
    private static final double HELD_SHARE = 0.25;

    /**
     * Ratio of the time to its objective to the typical objective of its priority above which a
     * call is served after the others. Calls with the same objective keep their order.
     */
    private static final double DEFERRABLE_RATIO = 2;

    private static final int DEFERRABLE_STEPS = 1;
    private static final int BEYOND_SHARE_STEPS = 2;

    @Override
    public Decision decide(
            PendingCall call, ServiceState state, List<PendingCall> waiting, long nowMillis) {
        if (state.hasRoom()) {
            return new Decision.Send(EnginePriority.of(call.priority()));
        }
        int priority = enginePriority(call, state, nowMillis);
        // A call that is held back must not wait before others of less urgent kinds.
        long wait =
                call.isForModel() && !isHeldBack(call, state)
                        ? state.waitMillis(priority)
                        : state.queueMillis();
        long limit = limitMillis(call, state, nowMillis);
        if (wait <= limit) {
            return new Decision.Send(priority);
        }
        Decision.Refuse refusal =
                new Decision.Refuse(
                        reason(call, state, limit, nowMillis),
                        wait,
                        limit,
                        wait - limit + state.backlogMillis());
        boolean isHopeless = wait > call.end().remainingMillis(nowMillis);
        return isHopeless ? refusal : hold(call, state, waiting, nowMillis).orElse(refusal);
    }

    /** Whether the call is sent only if a server has room. */
    private static boolean isHeldBack(PendingCall call, ServiceState state) {
        KindStanding standing = state.standing();
        return !standing.isEndangered()
                && (standing.isAhead() || standing.isOtherEndangered() || call.isBeyondShare());
    }

    private static int enginePriority(PendingCall call, ServiceState state, long nowMillis) {
        int base = EnginePriority.of(call.priority());
        KindStanding standing = state.standing();
        if (standing.isEndangered()) {
            return base;
        }
        boolean deferrable =
                call.objective().remainingMillis(nowMillis)
                        > DEFERRABLE_RATIO * state.objectiveMillis();
        int steps =
                (deferrable ? DEFERRABLE_STEPS : 0)
                        + (call.isBeyondShare() ? BEYOND_SHARE_STEPS : 0);
        return Math.max(base, Math.min(state.lowestEnginePriority(), base + steps));
    }

    /** Returns the longest wait with which the call is sent. */
    private static long limitMillis(PendingCall call, ServiceState state, long nowMillis) {
        long longest = EngineQueuePolicy.longestWaitMillis(call.end().remainingMillis(nowMillis));
        KindStanding standing = state.standing();
        if (standing.isEndangered()) {
            return longest;
        }
        if (isHeldBack(call, state)) {
            return 0;
        }
        long inTime =
                Math.max(0, call.objective().remainingMillis(nowMillis) - state.firstMillis());
        return Math.min(longest, inTime);
    }

    private static String reason(PendingCall call, ServiceState state, long limit, long nowMillis) {
        if (limit >= EngineQueuePolicy.longestWaitMillis(call.end().remainingMillis(nowMillis))) {
            return "its caller would abandon it";
        }
        if (call.isBeyondShare()) {
            return "beyond its customer's share";
        }
        return isHeldBack(call, state)
                ? "other kinds of call are served less often"
                : "it would miss its objective";
    }

    /** Lets the call wait here if it may and has a higher loss than another one that waits. */
    private static Optional<Decision> hold(
            PendingCall call, ServiceState state, List<PendingCall> waiting, long nowMillis) {
        long left = call.objective().remainingMillis(nowMillis);
        Deadline until =
                call.heldUntil()
                        .orElse(
                                Deadline.after(
                                        nowMillis,
                                        Math.min(MAX_HELD_MILLIS, (long) (HELD_SHARE * left))));
        if (until.isPast(nowMillis) || state.maxWaiting() == 0) {
            return Optional.empty();
        }
        if (waiting.size() < state.maxWaiting()) {
            return Optional.of(new Decision.Wait(until, Optional.empty()));
        }
        PendingCall least =
                Stream.concat(waiting.stream(), Stream.of(call))
                        .min(CallLoss.refusedFirst(state.typicalTokens(), nowMillis))
                        .orElse(call);
        return least.equals(call)
                ? Optional.empty()
                : Optional.of(new Decision.Wait(until, Optional.of(least)));
    }
}
