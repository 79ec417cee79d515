package org.cornelway.supervisor;

import io.reactivex.rxjava3.core.Completable;
import org.cornelway.time.Deadline;

/**
 * A named part of a process that can be started, drained and stopped.
 *
 * <p>Called only by its supervisor, and never concurrently.
 */
public interface Component {
    /** Name in logs and metrics. */
    String name();

    /** Starts the component; completes when it is ready. */
    Completable start();

    /**
     * Stops accepting requests and completes when the open ones have ended, at the latest at the
     * deadline. Does nothing unless overridden.
     */
    default Completable drain(Deadline deadline) {
        return Completable.complete();
    }

    /** Stops the component immediately. */
    Completable stop();
}
