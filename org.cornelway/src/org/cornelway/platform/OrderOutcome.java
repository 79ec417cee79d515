package org.cornelway.platform;

/** Outcome of an order to a model engine. Immutable. */
public sealed interface OrderOutcome {
    /** The engine confirmed the order. */
    record Done() implements OrderOutcome {}

    /** The engine did not carry out the order: it rejected the order or never received it. */
    record Rejected(String reason) implements OrderOutcome {}

    /**
     * The engine rejected the order because it has seen a higher fencing number.
     *
     * @param highest the highest fencing number that the engine has seen
     */
    record Fenced(long highest) implements OrderOutcome {}

    /** The outcome is unknown: the engine may still carry out the order. */
    record Unconfirmed(String reason) implements OrderOutcome {}
}
