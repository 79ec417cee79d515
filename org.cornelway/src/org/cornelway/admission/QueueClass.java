package org.cornelway.admission;

/** Urgency class of a request. */
public enum QueueClass {
    INTERACTIVE,
    DEFERRED
}
