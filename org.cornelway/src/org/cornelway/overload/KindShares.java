package org.cornelway.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts how many of the recent calls of each kind were refused or abandoned unserved, and compares
 * the kinds of one service. Confined to the thread of its owner.
 */
final class KindShares {
    /** Covers several bursts, so that a difference between kinds is one of all their calls. */
    private static final double CONSTANT_MILLIS = 30_000;

    /** Part of the share served of all calls below which a kind needs precedence. */
    private static final double ENDANGERED_SHARE = 0.4;

    /** By how much more often than a more urgent kind a kind is served before it is ahead. */
    private static final double AHEAD_DIFFERENCE = 0.02;

    /** Number of calls below which a share means nothing. */
    private static final double MIN_CALLS = 10;

    private final Map<Key, Counts> mCounts = new HashMap<>();

    /** A kind; a route whose calls have several priorities counts as several kinds. */
    private record Key(String service, String kind, int priority, boolean isBeyondShare) {
        static Key of(PendingCall call) {
            return new Key(call.service(), call.kind(), call.priority(), call.isBeyondShare());
        }

        /** Whether the kinds compete; calls beyond their customers' shares come after others. */
        boolean isComparable(Key other) {
            return service.equals(other.service) && isBeyondShare == other.isBeyondShare;
        }
    }

    /** The recent calls of one kind. */
    private static final class Counts {
        private final DecayingSum mAsked = new DecayingSum(CONSTANT_MILLIS);
        private final DecayingSum mUnserved = new DecayingSum(CONSTANT_MILLIS);

        double servedShare(long nowMillis) {
            double asked = mAsked.get(nowMillis);
            return asked <= 0 ? 1 : Math.max(0, 1 - mUnserved.get(nowMillis) / asked);
        }

        boolean isSignificant(long nowMillis) {
            return mAsked.get(nowMillis) >= MIN_CALLS;
        }
    }

    private Counts counts(Key key) {
        return mCounts.computeIfAbsent(key, missing -> new Counts());
    }

    void recordAsked(PendingCall call, long nowMillis) {
        counts(Key.of(call)).mAsked.add(1, nowMillis);
    }

    void recordUnserved(PendingCall call, int count, long nowMillis) {
        counts(Key.of(call)).mUnserved.add(count, nowMillis);
    }

    /** Discards kinds without recent calls. */
    void expire(long nowMillis) {
        mCounts.values().removeIf(each -> each.mAsked.get(nowMillis) < 0.1);
    }

    /** Returns how the kind of a call compares to the other kinds of its service. */
    KindStanding standing(PendingCall call, long nowMillis) {
        Key own = Key.of(call);
        double asked = 0;
        double unserved = 0;
        for (Map.Entry<Key, Counts> each : mCounts.entrySet()) {
            if (each.getKey().isComparable(own)) {
                asked += each.getValue().mAsked.get(nowMillis);
                unserved += each.getValue().mUnserved.get(nowMillis);
            }
        }
        if (unserved <= 0 || asked <= 0) {
            return KindStanding.NORMAL;
        }
        double floor = ENDANGERED_SHARE * (1 - unserved / asked);
        Counts ownCounts = counts(own);
        boolean significant = ownCounts.isSignificant(nowMillis);
        double share = ownCounts.servedShare(nowMillis);
        boolean otherEndangered = false;
        boolean ahead = false;
        for (Map.Entry<Key, Counts> each : mCounts.entrySet()) {
            Key key = each.getKey();
            if (key.equals(own)
                    || !key.isComparable(own)
                    || !each.getValue().isSignificant(nowMillis)) {
                continue;
            }
            double other = each.getValue().servedShare(nowMillis);
            otherEndangered |= other < floor;
            ahead |= key.priority() < own.priority() && share - other > AHEAD_DIFFERENCE;
        }
        return new KindStanding(
                significant && share < floor, otherEndangered, significant && ahead);
    }
}
