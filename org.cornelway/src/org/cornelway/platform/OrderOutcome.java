package org.cornelway.platform;

/** How an order to a model engine ended. Immutable. */
public sealed interface OrderOutcome {
    /** The engine confirmed the order. */
    record Done() implements OrderOutcome {}

    /** The engine did not carry out the order. */
    record Rejected(String reason) implements OrderOutcome {}

    /** The engine has seen a higher fencing number. */
    record Fenced(long highest) implements OrderOutcome {}

    /** The engine may still be working on the order. */
    record Unconfirmed(String reason) implements OrderOutcome {}
}
