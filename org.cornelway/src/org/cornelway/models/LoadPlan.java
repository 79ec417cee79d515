package org.cornelway.models;

import java.util.List;
import org.cornelway.directory.ServerIncarnation;

/**
 * Where to load a model. Immutable.
 *
 * @param engine the engine
 * @param evict models that make room first, in order
 * @param source where the weights come from
 * @param waitMillis time until the engine can begin; 0 if it can now
 * @param drainMillis time until the calls with the evicted models are expected to end
 * @param loadMillis time of the load itself
 * @param isWorthwhile whether callers lose less by it than by waiting on
 */
public record LoadPlan(
        ServerIncarnation engine,
        List<String> evict,
        WeightSource source,
        long waitMillis,
        long drainMillis,
        long loadMillis,
        boolean isWorthwhile) {
    /** Time until the model is there. */
    long totalMillis() {
        return waitMillis + drainMillis + loadMillis;
    }
}
