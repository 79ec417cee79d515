package org.cornelway.models;

import org.cornelway.directory.ServerLife;

/** What became of a wish for a model. Immutable. */
public sealed interface ModelAnswer {
    /** An engine holds the model. */
    record Held(ServerLife engine) implements ModelAnswer {}

    /** It cannot be there before the deadline. */
    record TooLate(long expectedMillis) implements ModelAnswer {}

    /** This process is not the controller. */
    record NotController() implements ModelAnswer {}
}
