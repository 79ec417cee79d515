package org.cornelway.relay;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.Member;
import org.cornelway.rpc.RelayReply;

/**
 * Compares documents with a peer and sends each side what it lacks.
 *
 * <p>Confined to the control thread.
 */
public final class DocumentSynchronizer {
    private final PeerClient mPeers;
    private final RelayMessages mExchange;
    private final Scheduler mControl;
    private final MetricRegistry mMetrics;
    private final Runnable mHeard;

    /**
     * @param heard called after each answer of a peer
     */
    public DocumentSynchronizer(
            PeerClient peers,
            RelayMessages exchange,
            Scheduler control,
            MetricRegistry metrics,
            Runnable heard) {
        mPeers = peers;
        mExchange = exchange;
        mControl = control;
        mMetrics = metrics;
        mHeard = heard;
    }

    /** Exchanges revisions with a peer, then documents where one side is behind. */
    public void synchronize(Member peer) {
        mMetrics.counter("relay.exchanges").inc();
        mPeers.relay(peer, mExchange.newRequest(List.of()))
                .observeOn(mControl)
                .subscribe(
                        reply -> {
                            List<KeyValue> lacking = heard(reply);
                            if (!lacking.isEmpty()) {
                                send(peer, lacking);
                            }
                        },
                        e -> mMetrics.counter("relay.failures").inc());
    }

    private void send(Member peer, List<KeyValue> documents) {
        mMetrics.counter("relay.documents").inc(documents.size());
        mPeers.relay(peer, mExchange.newRequest(documents))
                .observeOn(mControl)
                .subscribe(this::heard, e -> mMetrics.counter("relay.failures").inc());
    }

    private List<KeyValue> heard(RelayReply reply) {
        mHeard.run();
        return mExchange.apply(reply);
    }
}
