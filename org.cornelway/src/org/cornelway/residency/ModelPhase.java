package org.cornelway.residency;

/** Phase of a model's lifecycle in one engine. */
public enum ModelPhase {
    ABSENT,
    LOADING,
    LOADED,
    UNLOADING,
    /**
     * An order was not confirmed, or the engine reports the model as being loaded or unloaded. The
     * memory counts as held.
     */
    UNSETTLED;

    /** Whether the engine may hold memory for the model. */
    public boolean holdsMemory() {
        return this != ABSENT;
    }
}
