package org.cornelway.models;

import org.cornelway.directory.ServerIncarnation;

/** What became of a wish for a model. Immutable. */
public sealed interface ModelRequestOutcome {
    /** An engine holds the model. */
    record Held(ServerIncarnation engine) implements ModelRequestOutcome {}

    /** It cannot be there before the deadline. */
    record TooLate(long expectedMillis) implements ModelRequestOutcome {}

    /** This process is not the controller. */
    record NotController() implements ModelRequestOutcome {}
}
