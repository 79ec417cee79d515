package org.cornelway.models;

import org.cornelway.directory.ServerIncarnation;

/** Outcome of a model request. Immutable. */
public sealed interface ModelRequestOutcome {
    /** An engine holds the model. */
    record Held(ServerIncarnation engine) implements ModelRequestOutcome {}

    /** The model cannot be available before the deadline, or is not configured. */
    record TooLate(long expectedMillis) implements ModelRequestOutcome {}

    /** This process is not the controller. */
    record NotController() implements ModelRequestOutcome {}
}
