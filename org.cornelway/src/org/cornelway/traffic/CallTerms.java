package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.route.Customer;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * What the configuration and the caller say of one call when it arrives. Immutable.
 *
 * @param route route of the call
 * @param customer customer of the call; empty if it belongs to none
 * @param priority priority of the call, 0 is the most urgent: the customer's, else the route's
 * @param objective latency objective, for a stream that of its first event
 * @param tokens size of a call for a model; empty if the caller states none
 */
record CallTerms(
        Route route,
        Optional<Customer> customer,
        int priority,
        Deadline objective,
        Optional<TokenCount> tokens) {
    /** Returns the terms of a request that has arrived. */
    static CallTerms of(CallerRequest request, Route route, Optional<Customer> customer) {
        return new CallTerms(
                route,
                customer,
                customer.flatMap(Customer::priority).orElse(route.priority()),
                Deadline.after(request.arrivedMillis(), route.targetLatencyMillis()),
                request.head().tokens());
    }
}
