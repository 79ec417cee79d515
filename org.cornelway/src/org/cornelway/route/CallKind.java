package org.cornelway.route;

/** How often the calls of a route may run. */
public enum CallKind {
    /** A call that may run any number of times. */
    SAFE,
    /** A call that runs at most once. */
    UNSAFE,
    /** A stream of events; it may run again only where its route is resumable. */
    STREAM
}
