package org.cornelway.route;

/**
 * The rate at which a customer may make calls, over all entries together. Immutable.
 *
 * @param perSecond rate, in tokens per second, or in calls per second if {@code countsTokens} is
 *     false; 0 if there is no limit
 * @param burst amount beyond the rate that may be used at once, in the same unit
 * @param plainCost cost of a call that states no token count
 * @param countsTokens whether a call costs the tokens that it states; if not, each call costs 1
 */
public record TokenQuota(double perSecond, double burst, long plainCost, boolean countsTokens) {
    private static final TokenQuota UNLIMITED = new TokenQuota(0, 0, 1, false);

    /** Returns the quota of a customer without a limit. */
    public static TokenQuota unlimited() {
        return UNLIMITED;
    }

    /** Whether there is a limit. */
    public boolean isLimited() {
        return perSecond > 0;
    }
}
