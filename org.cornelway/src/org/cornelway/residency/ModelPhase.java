package org.cornelway.residency;

/** Where a model is in its life within one engine. */
public enum ModelPhase {
    ABSENT,
    LOADING,
    LOADED,
    UNLOADING,
    /** An order's outcome is not known; the memory counts as held. */
    UNSETTLED;

    /** Whether the engine may hold memory for the model. */
    public boolean holdsMemory() {
        return this != ABSENT;
    }
}
