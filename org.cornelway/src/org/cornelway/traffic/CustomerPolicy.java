package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.route.Customer;
import org.cornelway.route.CustomerKey;
import org.cornelway.route.RouteTable;

/**
 * Decides from a call's key whether the call may be sent, and which customer it belongs to. Pure
 * and thread-safe.
 *
 * <p>Invariant: if the configuration lists customers, a call is accepted only with the key of one
 * of them or on a public route, and servers are told of no customer but that of the key.
 */
final class CustomerPolicy {
    /** Why a call is refused. */
    enum Refusal {
        NO_KEY("missing", "the call has no key, or a malformed one"),
        UNKNOWN_KEY("unknown", "the key belongs to no customer"),
        KEY_REMOVED("removed", "the key was removed from its customer while the call waited");

        private final String mId;
        private final String mReason;

        Refusal(String id, String reason) {
            mId = id;
            mReason = reason;
        }

        /** Returns the name in metrics. */
        String id() {
            return mId;
        }

        /** Returns the reason for the caller and the log. */
        String reason() {
            return mReason;
        }
    }

    /** What is decided for a call. Immutable. */
    sealed interface Decision {
        /**
         * The call may be sent.
         *
         * @param customer the customer of its key; empty if it belongs to none
         * @param identity what servers are told of the customer
         */
        record Accepted(Optional<Customer> customer, CallIdentity identity) implements Decision {}

        /** The call is not sent. */
        record Refused(Refusal refusal) implements Decision {}
    }

    private CustomerPolicy() {}

    /**
     * Decides for a call that arrives.
     *
     * @param isPublic whether the call's route needs no key
     * @param key the call's key; empty if it has none
     */
    static Decision onArrival(RouteTable routes, boolean isPublic, Optional<CustomerKey> key) {
        if (!routes.requiresKeys()) {
            return new Decision.Accepted(Optional.empty(), CallIdentity.UNCHANGED);
        }
        Optional<Customer> customer = key.flatMap(routes::customer);
        if (customer.isEmpty() && !isPublic) {
            return new Decision.Refused(key.isEmpty() ? Refusal.NO_KEY : Refusal.UNKNOWN_KEY);
        }
        CallIdentity identity = new CallIdentity.Customer(customer.map(Customer::name));
        return new Decision.Accepted(customer, identity);
    }

    /**
     * Decides for a call that was accepted and is about to be sent. A configuration that lists no
     * customers removes no key: the call keeps its identity, and its key stays hidden from servers.
     *
     * @param routes the newest configuration
     * @param isPublic whether the call's route needs no key there
     * @param accepted the last decision for which the call was accepted
     */
    static Decision beforeSend(
            RouteTable routes,
            boolean isPublic,
            Optional<CustomerKey> key,
            Decision.Accepted accepted) {
        if (!routes.requiresKeys()) {
            return accepted;
        }
        return onArrival(routes, isPublic, key) instanceof Decision.Accepted now
                        && (isPublic || isSame(accepted.customer(), now.customer()))
                ? now
                : new Decision.Refused(Refusal.KEY_REMOVED);
    }

    /** Whether the key has not moved to another customer; it may have had none before. */
    private static boolean isSame(Optional<Customer> before, Optional<Customer> now) {
        return before.isEmpty() || before.map(Customer::name).equals(now.map(Customer::name));
    }
}
