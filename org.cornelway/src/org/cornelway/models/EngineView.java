package org.cornelway.models;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cornelway.directory.ServerIncarnation;

/**
 * An engine as seen by the load planner. Immutable.
 *
 * @param incarnation the engine's incarnation
 * @param freeMegabytes memory that is not taken by models, adapters or outstanding loads
 * @param waitMillis time until a model order can be sent to it; 0 if it can be sent now
 * @param models models that it holds
 * @param inMemory models of which its host memory has a cached copy
 * @param onDisk models of which its disk has a cached copy
 * @param soleCopyCount number of models that no engine holds or loads and whose only cached copy is
 *     on this engine's disk
 * @param activeCallCount number of active calls on it
 */
public record EngineView(
        ServerIncarnation incarnation,
        double freeMegabytes,
        long waitMillis,
        Map<String, ModelView> models,
        Set<String> inMemory,
        Set<String> onDisk,
        int soleCopyCount,
        int activeCallCount) {
    /** Returns this view in which the models that match are pinned too. */
    EngineView withPinned(Predicate<String> isPinned) {
        Map<String, ModelView> views = new HashMap<>();
        models.forEach(
                (name, view) -> views.put(name, isPinned.test(name) ? view.asPinned() : view));
        return new EngineView(
                incarnation,
                freeMegabytes,
                waitMillis,
                views,
                inMemory,
                onDisk,
                soleCopyCount,
                activeCallCount);
    }
}
