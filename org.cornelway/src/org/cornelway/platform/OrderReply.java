package org.cornelway.platform;

/** What an engine answered to an order. Immutable. */
public sealed interface OrderReply {
    /** The engine carries the order out from now on. */
    record Accepted() implements OrderReply {}

    /** What the order asks for holds already. */
    record AlreadyInEffect() implements OrderReply {}

    /** Another order is under way, or the engine accepted orders that the sender did not know. */
    record Conflict() implements OrderReply {}

    /** The engine has seen a higher fencing number. */
    record Fenced() implements OrderReply {}

    /** Another server answers at this address, or the order makes no sense to it. */
    record Rejected(int status) implements OrderReply {}

    /** The order did not leave. */
    record NotSent(String reason) implements OrderReply {}

    /** The order may have been accepted, or may still be carried out. */
    record Unconfirmed(String reason) implements OrderReply {}
}
