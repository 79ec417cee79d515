package org.cornelway.models;

/** Where a load takes the weights from. */
public enum WeightSource {
    MEMORY,
    DISK,
    STORE
}
