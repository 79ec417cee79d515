package org.cornelway.platform;

import java.util.List;

/**
 * What a model engine says that it holds. Immutable.
 *
 * @param capacityBytes the engine's memory
 * @param models the models held or being loaded or unloaded
 */
public record EngineTruth(long capacityBytes, List<HeldModel> models) {
    /**
     * A model in an engine.
     *
     * @param name the model
     * @param settled false while it is being loaded or unloaded
     * @param bytes memory it holds, in bytes
     * @param adapters its loaded adapters
     */
    public record HeldModel(String name, boolean settled, long bytes, List<String> adapters) {}
}
