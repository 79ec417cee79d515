package org.cornelway.quota;

import org.cornelway.route.TokenQuota;

/**
 * By how much a customer may exceed its quota, and how the parts of this code share that.
 *
 * <p>In any window the tokens of a customer's calls that reach servers are at most (rate x window +
 * burst) x (1 + overage) + slack. A bucket of depth {@link #depth} uses a part of what is beyond
 * rate x window + burst; {@link #startCredit} is a part that entries may use after their start. The
 * rest, at least half of overage x rate x window, covers the time in which two ledgers count the
 * share of one entry, and calls on their way to a server. Immutable.
 *
 * @param windowMillis length of the window
 * @param overage share of the quota by which it may be exceeded
 * @param slack tokens beyond that
 */
public record QuotaBounds(long windowMillis, double overage, double slack) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Part of overage x rate x window by which a bucket is deeper than the burst. */
    private static final double DEPTH_SHARE_OF_RATE = 0.125;

    /** Part of overage x burst by which a bucket is deeper than the burst. */
    private static final double DEPTH_SHARE_OF_BURST = 0.5;

    private static final double DEPTH_SHARE_OF_SLACK = 0.25;

    /** A window may hold two starts of each entry. */
    private static final double CREDIT_SHARE_OF_SLACK = 0.3;

    private static final long DEFAULT_WINDOW_MILLIS = 8_000;

    /** Returns the bounds of a deployment that allows no excess. */
    public static QuotaBounds none() {
        return new QuotaBounds(DEFAULT_WINDOW_MILLIS, 0, 0);
    }

    /** Returns the largest number of tokens that may be available at one time, over all entries. */
    public double depth(TokenQuota quota) {
        double window = quota.perSecond() * windowMillis / MILLIS_PER_SECOND;
        return quota.burst()
                + overage * DEPTH_SHARE_OF_RATE * window
                + overage * DEPTH_SHARE_OF_BURST * quota.burst()
                + DEPTH_SHARE_OF_SLACK * slackOf(quota);
    }

    /** Returns the tokens that all entries together may use once after their start. */
    public double startCredit(TokenQuota quota) {
        return CREDIT_SHARE_OF_SLACK * slackOf(quota);
    }

    /** Returns the most tokens that may reach servers in a window. */
    public double allowed(TokenQuota quota) {
        double window = quota.perSecond() * windowMillis / MILLIS_PER_SECOND;
        return (window + quota.burst()) * (1 + overage) + slack;
    }

    /** The slack is an amount of tokens, and too much for a quota that counts calls. */
    private double slackOf(TokenQuota quota) {
        return quota.countsTokens() ? slack : 0;
    }
}
