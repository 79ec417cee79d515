package org.cornelway.traffic;

import java.util.Optional;

/** What a backend server is told of the customer of a call. Immutable. */
public sealed interface CallIdentity {
    /** The only instance of {@link Unchanged} that is needed. */
    CallIdentity UNCHANGED = new Unchanged();

    /** The caller's own headers are passed on: the configuration lists no customers. */
    record Unchanged() implements CallIdentity {}

    /**
     * The headers of the caller that identify it are replaced.
     *
     * @param name name of the customer; empty if the call belongs to none
     */
    record Customer(Optional<String> name) implements CallIdentity {}
}
