package org.cornelway.residency;

/** Phase of a model's lifecycle in one engine. */
public enum ModelPhase {
    ABSENT,
    LOADING,
    LOADED,
    UNLOADING,
    /**
     * The state is uncertain: the engine did not confirm an order, or reports the model as being
     * loaded or unloaded. The model's memory counts as held.
     */
    UNSETTLED;

    /** Whether the engine may hold memory for the model. */
    public boolean holdsMemory() {
        return this != ABSENT;
    }
}
