package org.cornelway.models;

import java.util.List;
import org.cornelway.directory.ServerIncarnation;

/**
 * A plan to load a model on one engine. Immutable.
 *
 * @param engine the engine
 * @param victims models to evict first, in this order
 * @param source source of the weights
 * @param waitMillis time until the engine can begin; 0 if it can begin now
 * @param drainMillis time until the active calls to the evicted models are expected to end
 * @param loadMillis duration of the load itself
 * @param isWorthwhile whether the model should be loaded now: the load costs other callers no more
 *     than its own callers would lose by waiting longer, plus a small tolerance
 */
public record LoadPlan(
        ServerIncarnation engine,
        List<String> victims,
        WeightSource source,
        long waitMillis,
        long drainMillis,
        long loadMillis,
        boolean isWorthwhile) {
    /** Returns the expected time until the model is loaded. */
    long totalMillis() {
        return waitMillis + drainMillis + loadMillis;
    }
}
