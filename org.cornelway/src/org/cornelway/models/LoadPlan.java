package org.cornelway.models;

import java.util.List;
import org.cornelway.directory.ServerLife;

/**
 * Where to load a model. Immutable.
 *
 * @param engine the engine
 * @param evict models that make room first, in order
 * @param source where the weights come from
 * @param waitMillis time until the engine can begin; 0 if it can now
 * @param drainMillis time until the calls with the evicted models are expected to end
 * @param loadMillis time of the load itself
 * @param pays whether callers lose less by it than by waiting on
 */
public record LoadPlan(
        ServerLife engine,
        List<String> evict,
        CopySource source,
        long waitMillis,
        long drainMillis,
        long loadMillis,
        boolean pays) {
    /** Time until the model is there. */
    long totalMillis() {
        return waitMillis + drainMillis + loadMillis;
    }
}
