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
 * Counts calls by server, model and adapter, and expects when they will end.
 *
 * <p>Answers the question of what to unload: an engine unloads a model only once its calls have
 * ended. Confined to the traffic thread.
 */
public final class ModelUsage {
    /** Tokens of an answer whose caller gives no estimate. */
    private static final long USUAL_TOKENS = 200;

    /** Time of a token, from the arrival on, before answers of the model were seen. */
    private static final double FIRST_TOKEN_MILLIS = 6;

    /** Weight of the newest answer in a model's time of a token. */
    private static final double NEWEST_WEIGHT = 0.15;

    /** A call that runs for longer than expected is expected to need this time still. */
    private static final long OVERDUE_MILLIS = 400;

    private final Clock mClock;
    private final ModelCallRates mRates;
    private final Map<Key, Count> mCounts = new HashMap<>();
    private final Map<String, Double> mTokenMillis = new HashMap<>();

    /** What is counted separately. */
    private record Key(String server, ModelTarget target) {}

    /** A call under way; its identity tells it from others. Immutable. */
    public static final class RunningCall {
        private final Key mKey;
        private final long mTokens;
        private final long mBeganMillis;

        private RunningCall(Key key, long tokens, long beganMillis) {
            mKey = key;
            mTokens = tokens;
            mBeganMillis = beganMillis;
        }
    }

    /** Calls of one key. */
    private static final class Count {
        private final Set<RunningCall> mActive = new HashSet<>();
    }

    /**
     * All that is reported at once. Immutable.
     *
     * @param rates how callers ask, by model
     */
    public record Snapshot(List<ActiveCalls> activeCalls, Map<String, ModelRate> rates) {}

    /**
     * Use of a model on a server. Immutable.
     *
     * @param active calls under way
     * @param remainingMillis time until the last of the active calls is expected to end
     */
    public record ActiveCalls(
            String server, ModelTarget target, int active, long remainingMillis) {}

    ModelUsage(Clock clock) {
        mClock = clock;
        mRates = new ModelCallRates(clock);
    }

    /** Notes a call, which may ask for a model. */
    void recordCall(Optional<ModelTarget> target, long objectiveMillis) {
        target.ifPresent(each -> mRates.recordCall(each.model(), objectiveMillis));
    }

    /** Notes that a call began on a server. */
    RunningCall callStarted(String server, ModelTarget target, Optional<Long> expectedTokens) {
        Key key = new Key(server, target);
        RunningCall call =
                new RunningCall(key, expectedTokens.orElse(USUAL_TOKENS), mClock.nowMillis());
        Count count = mCounts.computeIfAbsent(key, each -> new Count());
        count.mActive.add(call);
        return call;
    }

    /** Notes that a call was answered whole; its time tells how fast the model is. */
    void callCompleted(RunningCall call) {
        double seen = (mClock.nowMillis() - call.mBeganMillis) / (double) Math.max(1, call.mTokens);
        String model = call.mKey.target().model();
        double before = mTokenMillis.getOrDefault(model, FIRST_TOKEN_MILLIS);
        mTokenMillis.put(model, before + NEWEST_WEIGHT * (seen - before));
    }

    /** Notes that a call ended in whatever way. */
    void callEnded(RunningCall call) {
        Count count = mCounts.get(call.mKey);
        if (count != null) {
            count.mActive.remove(call);
        }
    }

    private long remainingMillis(RunningCall call, long nowMillis) {
        double each = mTokenMillis.getOrDefault(call.mKey.target().model(), FIRST_TOKEN_MILLIS);
        long end = call.mBeganMillis + (long) (call.mTokens * each);
        return end > nowMillis ? end - nowMillis : OVERDUE_MILLIS;
    }

    /** What is in use and asked for now. */
    Snapshot snapshot() {
        long now = mClock.nowMillis();
        List<ActiveCalls> uses = new ArrayList<>();
        mCounts.forEach(
                (key, count) ->
                        uses.add(
                                new ActiveCalls(
                                        key.server(),
                                        key.target(),
                                        count.mActive.size(),
                                        count.mActive.stream()
                                                .mapToLong(call -> remainingMillis(call, now))
                                                .max()
                                                .orElse(0))));
        mCounts.values().removeIf(count -> count.mActive.isEmpty());
        return new Snapshot(uses, mRates.current());
    }
}
