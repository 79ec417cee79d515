package org.cornelway.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.time.Deadline;

/**
 * Chooses the entry whose ledger one entry takes tokens from: the controller; while none is known,
 * the first of the members; while the known one does not reply, the first of the own availability
 * zone, so that entries which are cut off together choose the same one. Pure; not thread-safe.
 */
public final class QuotaTargets {
    /** Time after a failure for which an entry is not chosen, unless it replies. */
    static final long AVOIDED_MILLIS = 5_000;

    private final long mWindowMillis;
    private final Map<String, Deadline> mAvoidedUntil = new HashMap<>();
    private Optional<String> mTarget = Optional.empty();
    private Deadline mSharingFrom = new Deadline(0);
    private Deadline mFreeChangeFrom = new Deadline(0);

    /**
     * @param windowMillis window in which quotas must hold
     */
    public QuotaTargets(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /** Records that an entry has replied. */
    public void recordReply(String entry) {
        mAvoidedUntil.remove(entry);
    }

    /** Records that an entry has not replied. */
    public void recordFailure(String entry, long nowMillis) {
        mAvoidedUntil.put(entry, Deadline.after(nowMillis, AVOIDED_MILLIS));
    }

    /**
     * Chooses the entry; empty if none is known.
     *
     * @param controller the last known controller
     * @param byRank members, in the order in which they are candidates for controller
     * @param ownZone members in this entry's availability zone
     */
    public Optional<String> choose(
            Optional<String> controller, List<String> byRank, Set<String> ownZone, long nowMillis) {
        mAvoidedUntil.values().removeIf(until -> until.isPast(nowMillis));
        Optional<String> chosen =
                controller
                        .filter(this::isUsable)
                        .or(() -> current(controller, byRank, ownZone))
                        .or(() -> first(controller, byRank, ownZone));
        if (chosen.isPresent() && !chosen.equals(mTarget)) {
            onChange(nowMillis);
            mTarget = chosen;
        }
        return chosen;
    }

    private boolean isUsable(String entry) {
        return !mAvoidedUntil.containsKey(entry);
    }

    /** Returns the entry chosen last, if it would be chosen after others that have come since. */
    private Optional<String> current(
            Optional<String> controller, List<String> byRank, Set<String> ownZone) {
        return mTarget.filter(this::isUsable)
                .filter(byRank::contains)
                .filter(each -> controller.isEmpty() || ownZone.contains(each));
    }

    private Optional<String> first(
            Optional<String> controller, List<String> byRank, Set<String> ownZone) {
        return byRank.stream()
                .filter(this::isUsable)
                .filter(each -> controller.isEmpty() || ownZone.contains(each))
                .findFirst();
    }

    /**
     * The ledger used before may count this entry's share for a while. One such overlap in a window
     * is within the bounds; after a second change the share is left to no ledger for that time.
     */
    private void onChange(long nowMillis) {
        if (mTarget.isEmpty()) {
            return;
        }
        if (!mFreeChangeFrom.isPast(nowMillis)) {
            mSharingFrom = Deadline.after(nowMillis, QuotaTimes.SHARE_MILLIS);
        }
        mFreeChangeFrom = Deadline.after(nowMillis, mWindowMillis);
    }

    /** Whether this entry may leave its share to the entry chosen last. */
    public boolean mayShare(long nowMillis) {
        return mSharingFrom.isPast(nowMillis);
    }
}
