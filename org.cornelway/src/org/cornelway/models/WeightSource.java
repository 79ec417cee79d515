package org.cornelway.models;

/** Source from which an engine loads a model's weights. */
public enum WeightSource {
    MEMORY,
    DISK,
    STORE
}
