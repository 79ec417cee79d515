package org.cornelway.models;

/** Source from which an engine loads a model's weights, from the fastest to the slowest. */
public enum WeightSource {
    /** A cached copy in the memory of the engine's host. */
    MEMORY,
    /** A cached copy on the disk of the engine's host. */
    DISK,
    /** The checkpoint store. */
    STORE
}
