package org.cornelway.overload;

import java.util.Comparator;
import org.cornelway.models.DelayLoss;

/**
 * Computes what delaying or refusing a call costs its caller, in the unit of {@link DelayLoss}
 * times the weight of the call's priority.
 *
 * <p>Invariant: per unit of work, refusing a call of an urgent priority costs more than refusing
 * one of a less urgent priority, however late or large the calls are. Stateless.
 */
public final class CallLoss {
    /**
     * Ratio of the weights of adjacent priorities. Exceeds the range of the losses per unit of work
     * within one priority, which is {@code MAX_WORK_RATIO^2 / MIN_REFUSAL_LOSS}.
     */
    private static final double PRIORITY_RATIO = 25;

    /** Loss, before weighting, of refusing a call that would miss its objective. */
    private static final double MIN_REFUSAL_LOSS = 0.2;

    /** Largest difference in work that counts, as a ratio to the typical work of a call. */
    private static final double MAX_WORK_RATIO = 2;

    private CallLoss() {}

    /** Returns the weight of a priority, 1 for the most urgent. */
    static double weight(int priority) {
        return Math.pow(PRIORITY_RATIO, -Math.max(0, priority));
    }

    /** Returns the loss if the call begins after a further delay instead of now. */
    static double ofDelay(PendingCall call, double furtherMillis, long nowMillis) {
        return weight(call.priority())
                * DelayLoss.ofWaiting(
                        waitedMillis(call, nowMillis), furtherMillis, call.objectiveMillis());
    }

    /** Returns the loss if the call is refused instead of beginning after a further delay. */
    static double ofRefusal(PendingCall call, double furtherMillis, long nowMillis) {
        double delay = waitedMillis(call, nowMillis) + furtherMillis;
        double remaining = 1 - DelayLoss.ofCall(delay, call.objectiveMillis());
        return weight(call.priority()) * Math.max(MIN_REFUSAL_LOSS, remaining);
    }

    /**
     * Returns the loss of a refusal per unit of work that it frees.
     *
     * @param typicalTokens work of a typical call of the service
     */
    public static double ofRefusalPerWork(
            PendingCall call, double furtherMillis, double typicalTokens, long nowMillis) {
        double ratio = call.tokens() / Math.max(1, typicalTokens);
        double work = Math.max(1 / MAX_WORK_RATIO, Math.min(MAX_WORK_RATIO, ratio));
        return ofRefusal(call, furtherMillis, nowMillis) / work;
    }

    /**
     * Returns the order in which calls are refused, the first one first: those beyond their
     * customers' shares, then by loss per unit of work.
     */
    public static Comparator<PendingCall> refusedFirst(double typicalTokens, long nowMillis) {
        return Comparator.comparing((PendingCall call) -> !call.isBeyondShare())
                .thenComparingDouble(call -> ofRefusalPerWork(call, 0, typicalTokens, nowMillis))
                .thenComparing(Comparator.comparingLong(PendingCall::arrivedMillis).reversed())
                .thenComparing(PendingCall::id);
    }

    private static double waitedMillis(PendingCall call, long nowMillis) {
        return Math.max(0, nowMillis - call.arrivedMillis());
    }
}
