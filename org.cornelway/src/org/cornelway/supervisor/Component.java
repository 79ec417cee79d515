package org.cornelway.supervisor;

import io.reactivex.rxjava3.core.Completable;
import org.cornelway.time.Deadline;

/**
 * A named part of a process with a start, a drain and a stop.
 *
 * <p>Called by its supervisor only, never at the same time.
 */
public interface Component {
    /** Name in logs and metrics. */
    String name();

    /** Starts; completes when ready. */
    Completable start();

    /**
     * Takes no new work and completes when the work in hand has ended, at the latest at a deadline.
     */
    default Completable drain(Deadline deadline) {
        return Completable.complete();
    }

    /** Stops at once. */
    Completable stop();
}
