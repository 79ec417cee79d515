package org.cornelway.role;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.function.Predicate;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValue;

/**
 * Applies documents as they arrive and publishes the cluster state once for documents that arrive
 * together.
 *
 * <p>The first list of servers is therefore published as a whole, and a process that has just
 * started does not become ready with only some of them. Confined to the control thread.
 */
final class ClusterStatePublisher {
    private final Predicate<KeyValue> mApply;
    private final Scheduler mControl;
    private final Runnable mPublish;
    private final EventLog mLog;
    private boolean mPublishScheduled;

    /**
     * @param apply applies a document; returns true if the cluster state must be published
     * @param publish publishes the cluster state
     */
    ClusterStatePublisher(
            Predicate<KeyValue> apply, Scheduler control, Runnable publish, EventLog log) {
        mApply = apply;
        mControl = control;
        mPublish = publish;
        mLog = log;
    }

    /** Applies a document. One that cannot be applied is logged, and the later ones are applied. */
    void apply(KeyValue document) {
        boolean changed = false;
        try {
            changed = mApply.test(document);
        } catch (RuntimeException e) {
            mLog.write(
                    "document.failed",
                    "key",
                    document.key(),
                    "revision",
                    document.revision(),
                    "reason",
                    String.valueOf(e));
        }
        if (changed && !mPublishScheduled) {
            mPublishScheduled = true;
            mControl.scheduleDirect(this::publish);
        }
    }

    private void publish() {
        mPublishScheduled = false;
        mPublish.run();
    }
}
