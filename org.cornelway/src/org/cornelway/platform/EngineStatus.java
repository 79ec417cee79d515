package org.cornelway.platform;

import java.util.List;

/**
 * What a model engine says that it holds. Immutable.
 *
 * @param capacityBytes the engine's memory
 * @param models the models held or being loaded or unloaded
 */
public record EngineStatus(long capacityBytes, List<HeldModel> models) {
    /**
     * A model in an engine.
     *
     * @param name the model
     * @param ready false while it is being loaded or unloaded
     * @param bytes memory it holds, in bytes
     * @param adapters its loaded adapters
     */
    public record HeldModel(String name, boolean ready, long bytes, List<String> adapters) {}
}
