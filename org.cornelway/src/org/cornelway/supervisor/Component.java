package org.cornelway.supervisor;

import io.reactivex.rxjava3.core.Completable;
import org.cornelway.time.Deadline;

/**
 * A named part of a process that can be started, drained and stopped.
 *
 * <p>Called only by its supervisor, and never concurrently, except {@link #requestStop}.
 */
public interface Component {
    /** Name in logs and metrics. */
    String name();

    /** Starts the component; completes when it is ready. */
    Completable start();

    /**
     * Announces that the component is to be drained and stopped: it no longer reports that it is
     * ready, and a start in progress fails before its next part is started. Does nothing unless
     * overridden. May be called on any thread, also during the start.
     */
    default void requestStop() {}

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
