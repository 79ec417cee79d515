package org.cornelway.role;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.function.Predicate;
import org.cornelway.platform.KeyValue;

/**
 * Takes documents over as they come and publishes once for those that come together.
 *
 * <p>The first list of servers is published as a whole, so that a process that has just started is
 * not ready with a part of them. Confined to the control thread.
 */
final class ClusterStatePublisher {
    private final Predicate<KeyValue> mTake;
    private final Scheduler mControl;
    private final Runnable mPublish;
    private boolean mScheduled;

    /**
     * @param take takes a document over; true if that is to be published
     * @param publish hands the beliefs to all who work with them
     */
    ClusterStatePublisher(Predicate<KeyValue> take, Scheduler control, Runnable publish) {
        mTake = take;
        mControl = control;
        mPublish = publish;
    }

    /** Takes a document over. */
    void apply(KeyValue document) {
        if (mTake.test(document) && !mScheduled) {
            mScheduled = true;
            mControl.scheduleDirect(this::publish);
        }
    }

    private void publish() {
        mScheduled = false;
        mPublish.run();
    }
}
