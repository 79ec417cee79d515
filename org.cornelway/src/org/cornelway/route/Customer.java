package org.cornelway.route;

import java.util.Optional;
import java.util.Set;

/**
 * A customer of the operator, whose callers share keys, a priority and a quota. Immutable.
 *
 * @param name name under which backend servers, logs and metrics know the customer
 * @param keys keys of its calls
 * @param priority priority of its calls, 0 is the most urgent; empty if that of the route applies
 * @param quota how much it may use
 */
public record Customer(
        String name, Set<CustomerKey> keys, Optional<Integer> priority, TokenQuota quota) {}
