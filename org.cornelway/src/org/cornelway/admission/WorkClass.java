package org.cornelway.admission;

/** How urgent work is. */
public enum WorkClass {
    INTERACTIVE,
    DEFERRED
}
