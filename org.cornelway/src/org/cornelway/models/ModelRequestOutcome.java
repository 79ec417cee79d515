package org.cornelway.models;

import org.cornelway.directory.ServerIncarnation;

/** Outcome of a model request. Immutable. */
public sealed interface ModelRequestOutcome {
    /** An engine holds the model or adapter. */
    record Held(ServerIncarnation engine) implements ModelRequestOutcome {}

    /**
     * The model cannot be available before the deadline, or is not configured.
     *
     * @param expectedMillis expected time until the model is loaded; 0 if it is not configured
     */
    record TooLate(long expectedMillis) implements ModelRequestOutcome {}

    /** This process is not the controller. */
    record NotController() implements ModelRequestOutcome {}
}
