package org.cornelway.cluster;

import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.time.Deadline;

/**
 * Deals out permits within one entry while no controller does.
 *
 * <p>A few entries, selected by all in the same way from the list of members, share the rate of
 * each limited server equally; the others send nothing there. Since the share does not depend on
 * the number of members, an entry that knows too few of them takes no more. Confined to the control
 * thread.
 */
public final class FallbackPermits {
    /** Number of entries that share the rate of a server. */
    public static final int SHARERS = 4;

    /** Time without a reply of a controller after which an entry deals out its share. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    private final String mSelf;
    private final BooleanSupplier mSelected;
    private Deadline mRepliesMissingFrom;
    private Optional<LimitDistributor> mDistributor = Optional.empty();

    /**
     * @param selected whether this entry is among the {@link #SHARERS} selected ones
     */
    public FallbackPermits(String self, BooleanSupplier selected, long nowMillis) {
        mSelf = self;
        mSelected = selected;
        mRepliesMissingFrom = Deadline.after(nowMillis, REPLY_TIMEOUT_MILLIS);
    }

    /** Records that a controller has replied and deals out the permits. */
    void recordReply(long nowMillis) {
        mRepliesMissingFrom = Deadline.after(nowMillis, REPLY_TIMEOUT_MILLIS);
        mDistributor = Optional.empty();
    }

    /**
     * Returns the permits of this entry; none while a controller replies. Its share accumulates
     * from the first call on, so that all entries together begin without permits.
     */
    Map<ServerIncarnation, Integer> deal(ServerLimits.Report report, long nowMillis) {
        if (!mRepliesMissingFrom.isPast(nowMillis) || !mSelected.getAsBoolean()) {
            mDistributor = Optional.empty();
            return Map.of();
        }
        LimitDistributor distributor = mDistributor.orElseGet(LimitDistributor::new);
        mDistributor = Optional.of(distributor);
        distributor.merge(report.limits());
        return distributor.deal(mSelf, report.wanted(), 1.0 / SHARERS, nowMillis);
    }
}
