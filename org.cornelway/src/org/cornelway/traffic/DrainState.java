package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * How far the drain of this process has come.
 *
 * <p>Invariant: it never goes back; a process that has begun to drain accepts calls until a fixed
 * time, and none afterwards, however late its threads are. Thread-safe.
 */
final class DrainState {
    private final Clock mClock;
    private volatile Optional<Deadline> mAcceptUntil = Optional.empty();

    DrainState(Clock clock) {
        mClock = clock;
    }

    /**
     * Begins the drain.
     *
     * @param acceptUntil when calls are no longer accepted
     */
    void begin(Deadline acceptUntil) {
        mAcceptUntil = Optional.of(acceptUntil);
    }

    /** Whether the drain has begun. */
    boolean isDraining() {
        return mAcceptUntil.isPresent();
    }

    /** Whether calls are refused because the process stops. */
    boolean isAcceptingOver() {
        return mAcceptUntil.map(until -> until.isPast(mClock.nowMillis())).orElse(false);
    }
}
