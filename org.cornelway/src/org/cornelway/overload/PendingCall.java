package org.cornelway.overload;

import java.util.Optional;
import org.cornelway.time.Deadline;

/**
 * A call that has not been sent, as the decisions under overload see it. Immutable.
 *
 * @param id id of the call
 * @param service service that it is routed to
 * @param kind name of its route; calls of one kind are counted together
 * @param priority its customer's priority, else its route's; 0 is the most urgent
 * @param customer its customer; empty if it belongs to none
 * @param tokens work that it causes: prompt tokens and output tokens together
 * @param isForModel whether it is for a model; engines admit such calls by priority
 * @param arrivedMillis when it arrived
 * @param objective latency objective, for a stream that of its first event
 * @param end when its caller abandons it if it has not begun
 * @param heldUntil how long it may wait here; empty if it does not wait yet
 */
public record PendingCall(
        String id,
        String service,
        String kind,
        int priority,
        Optional<Customer> customer,
        double tokens,
        boolean isForModel,
        long arrivedMillis,
        Deadline objective,
        Deadline end,
        Optional<Deadline> heldUntil) {
    /**
     * The customer of a call. Immutable.
     *
     * @param name its name
     * @param weight its part in the division of scarce capacity, in proportion to the others'
     * @param isBeyondShare whether the call is beyond the customer's share
     */
    public record Customer(String name, double weight, boolean isBeyondShare) {}

    /** Whether the call is beyond its customer's share. */
    public boolean isBeyondShare() {
        return customer.map(Customer::isBeyondShare).orElse(false);
    }

    /** Returns the latency objective as a duration. */
    long objectiveMillis() {
        return Math.max(1, objective.epochMillis() - arrivedMillis);
    }

    /** Returns this call as one that is beyond its customer's share. */
    public PendingCall beyondShare() {
        return new PendingCall(
                id,
                service,
                kind,
                priority,
                customer.map(each -> new Customer(each.name(), each.weight(), true)),
                tokens,
                isForModel,
                arrivedMillis,
                objective,
                end,
                heldUntil);
    }

    /** Returns this call, waiting here until the given time. */
    public PendingCall heldUntil(Deadline until) {
        return new PendingCall(
                id,
                service,
                kind,
                priority,
                customer,
                tokens,
                isForModel,
                arrivedMillis,
                objective,
                end,
                Optional.of(until));
    }
}
