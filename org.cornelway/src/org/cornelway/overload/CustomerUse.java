package org.cornelway.overload;

/**
 * How much a customer has asked for recently. Immutable.
 *
 * @param askedPerSecond tokens of its calls, in tokens per second
 * @param servedPerSecond tokens of the calls that servers have begun
 * @param weight its part in the division of scarce capacity
 */
public record CustomerUse(double askedPerSecond, double servedPerSecond, double weight) {
    /** Returns the use at two places together; both know the same weight or one is outdated. */
    public CustomerUse plus(CustomerUse other) {
        return new CustomerUse(
                askedPerSecond + other.askedPerSecond,
                servedPerSecond + other.servedPerSecond,
                Math.max(weight, other.weight));
    }
}
