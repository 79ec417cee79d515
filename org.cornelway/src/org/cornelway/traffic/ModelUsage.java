package org.cornelway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.time.Clock;

/**
 * Counts the calls in progress by server, model and adapter, and estimates when they will end.
 *
 * <p>The controller uses this to decide what to unload, since an engine unloads a model only after
 * its calls have ended. Confined to the traffic thread.
 */
public final class ModelUsage {
    /** Expected number of tokens of a response whose caller gives no estimate. */
    private static final long DEFAULT_EXPECTED_TOKENS = 200;

    /**
     * Time per token that is assumed for a model until one of its calls has completed. It includes
     * a share of the time before the first token, since it is measured from the start of the
     * attempt.
     */
    private static final double INITIAL_MILLIS_PER_TOKEN = 6;

    /** Weight of the newest response in a model's average time per token. */
    private static final double NEWEST_SAMPLE_WEIGHT = 0.15;

    /** Remaining time that is assumed for a call that runs longer than expected. */
    private static final long OVERDUE_REMAINING_MILLIS = 400;

    private final Clock mClock;
    private final ModelCallRates mRates;
    private final Map<Key, CallSet> mCallSets = new HashMap<>();
    private final Map<String, Double> mMillisPerToken = new HashMap<>();

    /** A server, and the model or adapter that calls to it are for. */
    private record Key(String server, ModelTarget target) {}

    /** A call in progress at a server. Compared by identity. Immutable. */
    public static final class RunningCall {
        private final Key mKey;
        private final long mExpectedTokens;
        private final long mStartedMillis;

        private RunningCall(Key key, long expectedTokens, long startedMillis) {
            mKey = key;
            mExpectedTokens = expectedTokens;
            mStartedMillis = startedMillis;
        }
    }

    /** The calls in progress for one model or adapter on one server. */
    private static final class CallSet {
        private final Set<RunningCall> mActive = new HashSet<>();
    }

    /**
     * The usage at one moment. Immutable.
     *
     * @param activeCalls calls in progress by server, model and adapter
     * @param rates call rates by model
     */
    public record Snapshot(List<ActiveCalls> activeCalls, Map<String, ModelRate> rates) {}

    /**
     * The calls in progress for one model or adapter on one server. Immutable.
     *
     * @param server id of the server
     * @param target the model or adapter
     * @param count number of calls in progress
     * @param remainingMillis time until the last of them is expected to end
     */
    public record ActiveCalls(String server, ModelTarget target, int count, long remainingMillis) {}

    ModelUsage(Clock clock) {
        mClock = clock;
        mRates = new ModelCallRates(clock);
    }

    /**
     * Counts a call towards the call rate of its model, if it is for a model.
     *
     * @param objectiveMillis latency objective of the call's route
     */
    void recordCall(Optional<ModelTarget> target, long objectiveMillis) {
        target.ifPresent(modelTarget -> mRates.recordCall(modelTarget.model(), objectiveMillis));
    }

    /** Records the start of an attempt to send a call to a server. */
    RunningCall callStarted(String server, ModelTarget target, Optional<Long> expectedTokens) {
        Key key = new Key(server, target);
        RunningCall call =
                new RunningCall(
                        key, expectedTokens.orElse(DEFAULT_EXPECTED_TOKENS), mClock.nowMillis());
        CallSet callSet = mCallSets.computeIfAbsent(key, missingKey -> new CallSet());
        callSet.mActive.add(call);
        return call;
    }

    /**
     * Records that a call got a complete response. Updates the model's average time per token,
     * which is computed from the expected number of tokens.
     */
    void callCompleted(RunningCall call) {
        double sampleMillisPerToken =
                (mClock.nowMillis() - call.mStartedMillis)
                        / (double) Math.max(1, call.mExpectedTokens);
        String model = call.mKey.target().model();
        double averageMillisPerToken =
                mMillisPerToken.getOrDefault(model, INITIAL_MILLIS_PER_TOKEN);
        mMillisPerToken.put(
                model,
                averageMillisPerToken
                        + NEWEST_SAMPLE_WEIGHT * (sampleMillisPerToken - averageMillisPerToken));
    }

    /** Records that a call has ended, successfully or not. */
    void callEnded(RunningCall call) {
        CallSet callSet = mCallSets.get(call.mKey);
        if (callSet != null) {
            callSet.mActive.remove(call);
        }
    }

    private long remainingMillis(RunningCall call, long nowMillis) {
        double millisPerToken =
                mMillisPerToken.getOrDefault(call.mKey.target().model(), INITIAL_MILLIS_PER_TOKEN);
        long expectedEndMillis =
                call.mStartedMillis + (long) (call.mExpectedTokens * millisPerToken);
        return expectedEndMillis > nowMillis
                ? expectedEndMillis - nowMillis
                : OVERDUE_REMAINING_MILLIS;
    }

    /** Returns the current usage and call rates. */
    Snapshot snapshot() {
        long now = mClock.nowMillis();
        List<ActiveCalls> activeCalls = new ArrayList<>();
        mCallSets.forEach(
                (key, callSet) ->
                        activeCalls.add(
                                new ActiveCalls(
                                        key.server(),
                                        key.target(),
                                        callSet.mActive.size(),
                                        callSet.mActive.stream()
                                                .mapToLong(call -> remainingMillis(call, now))
                                                .max()
                                                .orElse(0))));
        mCallSets.values().removeIf(callSet -> callSet.mActive.isEmpty());
        return new Snapshot(activeCalls, mRates.current());
    }
}
