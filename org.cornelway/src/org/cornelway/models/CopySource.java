package org.cornelway.models;

/** Where a load takes the weights from. */
public enum CopySource {
    MEMORY,
    DISK,
    STORE
}
