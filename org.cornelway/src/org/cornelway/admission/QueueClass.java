package org.cornelway.admission;

/** Urgency class of a request. */
public enum QueueClass {
    /** Not limited by the deferred share of the capacity. */
    INTERACTIVE,
    /**
     * Limited to the deferred share of the capacity, unless the queue policy treats the request as
     * interactive, for example because its deadline is near.
     */
    DEFERRED
}
