package org.cornelway.route;

/** Whether the calls of a route may run more than once. */
public enum CallKind {
    /** A call that may run any number of times. */
    SAFE,
    /** A call that runs at most once. */
    UNSAFE,
    /** A stream of events; it may run more than once only if its route is resumable. */
    STREAM
}
