package org.cornelway.residency;

/** Phase of a model's lifecycle in one engine. */
public enum ModelPhase {
    ABSENT,
    LOADING,
    LOADED,
    UNLOADING,
    /** The outcome of an order is unknown; the memory counts as held. */
    UNSETTLED;

    /** Whether the engine may hold memory for the model. */
    public boolean holdsMemory() {
        return this != ABSENT;
    }
}
