package org.cornelway.residency;

/** Phase of a model's lifecycle in one engine. */
public enum ModelPhase {
    ABSENT,
    LOADING,
    LOADED,
    UNLOADING,
    /**
     * The state is uncertain: the engine did not confirm an order, or reports that a load or unload
     * of the model is in progress. The model's memory counts as held.
     */
    UNSETTLED;

    /** Whether the engine may hold memory for the model. */
    public boolean mayHoldMemory() {
        return this != ABSENT;
    }
}
