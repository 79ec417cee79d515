package org.cornelway.overload;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides scarce capacity among customers: weighted max-min fairness over their recent use.
 *
 * <p>A customer that asks for less than the common level times its weight gets all that it asks
 * for; the others get that much. The level is such that the shares add up to what servers do. A
 * customer that asks for no more than the mean in proportion to its weight is not beyond its share
 * at any level, since it does not cause the shortage. Pure and thread-safe.
 */
public final class CustomerShares {
    /**
     * Part of the capacity that is not divided, so that a shortage is borne by the customers beyond
     * their shares before calls of others are refused.
     */
    private static final double RESERVE = 0.1;

    /** Part of the common share of use served that each customer has at least. */
    private static final double MIN_SHARE = 0.4;

    private CustomerShares() {}

    /**
     * Returns which part of their use is within their shares, for those customers that ask for more
     * than their shares; it matters only while capacity is short.
     */
    public static Map<String, Double> fractions(Map<String, CustomerUse> uses) {
        double asked = uses.values().stream().mapToDouble(CustomerUse::askedPerSecond).sum();
        double served = uses.values().stream().mapToDouble(CustomerUse::servedPerSecond).sum();
        if (asked <= 0) {
            return Map.of();
        }
        double capacity = (1 - RESERVE) * Math.min(asked, served);
        double level = level(uses, capacity);
        double mean = asked / uses.values().stream().mapToDouble(CustomerShares::weight).sum();
        Map<String, Double> fractions = new HashMap<>();
        uses.forEach(
                (name, use) -> {
                    double share = level * weight(use);
                    if (use.askedPerSecond() > share && demand(use) > mean) {
                        double least = MIN_SHARE * capacity / asked;
                        fractions.put(name, Math.max(least, share / use.askedPerSecond()));
                    }
                });
        return fractions;
    }

    /** Returns the level at which the shares of all customers add up to the capacity. */
    private static double level(Map<String, CustomerUse> uses, double capacity) {
        List<CustomerUse> byDemand =
                uses.values().stream()
                        .sorted(Comparator.comparingDouble(CustomerShares::demand))
                        .toList();
        double left = capacity;
        double weights = byDemand.stream().mapToDouble(CustomerShares::weight).sum();
        for (CustomerUse use : byDemand) {
            if (demand(use) * weights >= left) {
                return left / weights;
            }
            left -= use.askedPerSecond();
            weights -= weight(use);
        }
        return Double.MAX_VALUE;
    }

    private static double demand(CustomerUse use) {
        return use.askedPerSecond() / weight(use);
    }

    private static double weight(CustomerUse use) {
        return Math.max(1e-6, use.weight());
    }
}
