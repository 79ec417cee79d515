package org.cornelway.platform;

/** Reply of an engine to an order. Immutable. */
public sealed interface OrderReply {
    /** The engine accepted the order and is carrying it out. */
    record Accepted() implements OrderReply {}

    /** The engine is already in the state that the order asks for. */
    record AlreadyInEffect() implements OrderReply {
        /** Keeps the record's earlier text, since log readers match it in the field "reply". */
        @Override
        public String toString() {
            return "AlreadySo[]";
        }
    }

    /**
     * Another order is in progress, or the engine has accepted orders that the sender does not know
     * of.
     */
    record Conflict() implements OrderReply {}

    /** The engine rejected the order because it has seen a higher fencing number. */
    record Fenced() implements OrderReply {
        /** Keeps the record's earlier text, since log readers match it in the field "reply". */
        @Override
        public String toString() {
            return "Outranked[]";
        }
    }

    /**
     * Another server answers at this address, or the engine considers the order invalid.
     *
     * @param status HTTP status of the response
     */
    record Rejected(int status) implements OrderReply {}

    /** The order was not sent. */
    record NotSent(String reason) implements OrderReply {}

    /** It is unknown whether the engine has accepted the order or will still carry it out. */
    record Unconfirmed(String reason) implements OrderReply {
        /** Keeps the record's earlier text, since log readers match it in the field "reply". */
        @Override
        public String toString() {
            return "Unsettled[reason=" + reason + "]";
        }
    }
}
