package org.cornelway.platform;

import java.util.List;

/**
 * The memory and the models that a model engine reports. Immutable.
 *
 * @param capacityBytes memory of the engine, in bytes
 * @param models models that are loaded, being loaded or being unloaded
 */
public record EngineStatus(long capacityBytes, List<HeldModel> models) {
    /**
     * A model on an engine.
     *
     * @param name the model
     * @param ready false while it is being loaded or unloaded
     * @param bytes memory that it takes, in bytes
     * @param adapters its loaded adapters
     */
    public record HeldModel(String name, boolean ready, long bytes, List<String> adapters) {}
}
