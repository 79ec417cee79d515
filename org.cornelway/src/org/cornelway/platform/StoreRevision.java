package org.cornelway.platform;

/**
 * Revisions that order the writes to a key-value service also over its restores.
 *
 * <p>A service that was restored from a copy counts its writes from that of the copy on, and gives
 * the same numbers out again. Each restore begins a new era. A revision therefore consists of the
 * era and, within it, the number of the write, so that each write of a later era comes after all
 * writes of the eras before. Behind each write there is room for one more revision, {@link
 * #following}, at which a process keeps a document that it knows to be newer than the write.
 *
 * <p>Invariant: all revisions are below 2^53, so that JSON numbers hold them. Stateless.
 */
public final class StoreRevision {
    /** Highest era. */
    public static final long MAX_ERA = (1 << 12) - 1;

    private static final int FOLLOWING_BITS = 1;
    private static final int COUNTER_BITS = 40;
    private static final long MAX_COUNTER = (1L << COUNTER_BITS) - 1;

    private StoreRevision() {}

    /**
     * Returns the revision of a write.
     *
     * @param counter number of the write in the service; 0 for a key that is absent
     * @throws IllegalArgumentException if the era or the counter is out of range
     */
    public static long of(long era, long counter) {
        if (era < 0 || era > MAX_ERA || counter < 0 || counter > MAX_COUNTER) {
            throw new IllegalArgumentException("no revision: era " + era + ", write " + counter);
        }
        return era << (COUNTER_BITS + FOLLOWING_BITS) | counter << FOLLOWING_BITS;
    }

    /** Returns the era of a revision. */
    public static long era(long revision) {
        return revision >> (COUNTER_BITS + FOLLOWING_BITS);
    }

    /** Returns the number of the write in the service. */
    public static long counter(long revision) {
        return revision >> FOLLOWING_BITS & MAX_COUNTER;
    }

    /** Returns the revision after that of a write and before that of the next one. */
    public static long following(long revision) {
        return revision | 1;
    }
}
