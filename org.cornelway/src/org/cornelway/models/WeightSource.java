package org.cornelway.models;

/**
 * Source from which an engine loads a model's weights: a cached copy in the memory or on the disk
 * of its host, or the checkpoint store.
 */
public enum WeightSource {
    MEMORY,
    DISK,
    STORE
}
