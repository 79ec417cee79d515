package org.cornelway.admission;

/** How urgent work is. */
public enum QueueClass {
    INTERACTIVE,
    DEFERRED
}
