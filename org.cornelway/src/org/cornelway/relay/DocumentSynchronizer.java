package org.cornelway.relay;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.Member;
import org.cornelway.rpc.RelayReply;

/**
 * Synchronizes the cached documents with a peer: each side receives the documents of which the
 * other has a newer revision.
 *
 * <p>Confined to the control thread.
 */
public final class DocumentSynchronizer {
    private final PeerClient mPeers;
    private final RelayMessages mMessages;
    private final Scheduler mControl;
    private final MetricRegistry mMetrics;
    private final Runnable mOnReply;

    /**
     * @param onReply called for each reply of a peer, before its documents are cached
     */
    public DocumentSynchronizer(
            PeerClient peers,
            RelayMessages messages,
            Scheduler control,
            MetricRegistry metrics,
            Runnable onReply) {
        mPeers = peers;
        mMessages = messages;
        mControl = control;
        mMetrics = metrics;
        mOnReply = onReply;
    }

    /**
     * Sends the revisions of the cached documents to a peer, which replies with its own revisions
     * and the documents of which it has a newer one. Then sends the documents of which this process
     * has a newer one. Returns without waiting for the reply; failures are only counted.
     */
    public void synchronize(Member peer) {
        mMetrics.counter("relay.exchanges").inc();
        mPeers.relay(peer, mMessages.newRequest(List.of()))
                .observeOn(mControl)
                .subscribe(
                        reply -> {
                            List<KeyValue> missing = applyReply(reply);
                            if (!missing.isEmpty()) {
                                send(peer, missing);
                            }
                        },
                        e -> mMetrics.counter("relay.failures").inc());
    }

    private void send(Member peer, List<KeyValue> documents) {
        mMetrics.counter("relay.documents").inc(documents.size());
        mPeers.relay(peer, mMessages.newRequest(documents))
                .observeOn(mControl)
                .subscribe(this::applyReply, e -> mMetrics.counter("relay.failures").inc());
    }

    private List<KeyValue> applyReply(RelayReply reply) {
        mOnReply.run();
        return mMessages.apply(reply);
    }
}
