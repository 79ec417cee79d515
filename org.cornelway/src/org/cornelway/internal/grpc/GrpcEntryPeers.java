package org.cornelway.internal.grpc;

import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.TimeUnit;
import org.cornelway.cluster.EntryPeers;
import org.cornelway.platform.Member;
import org.cornelway.rpc.EntryServiceGrpc;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.UseReport;

/** Calls other entries over gRPC. Thread-safe. */
public final class GrpcEntryPeers implements EntryPeers {
    /** A report is answered at once; a connection that takes longer has gone silent. */
    private static final long REPORT_MILLIS = 900;

    private final ChannelPool mChannels;
    private final ClusterKey mKey;

    /**
     * @param channels connections to the entries
     */
    public GrpcEntryPeers(ChannelPool channels, ClusterKey key) {
        mChannels = channels;
        mKey = key;
    }

    private EntryServiceGrpc.EntryServiceStub stub(Member member, long millis) {
        return EntryServiceGrpc.newStub(mChannels.channel(member))
                .withCallCredentials(mKey)
                .withDeadlineAfter(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public Single<ModelGrant> ask(Member controller, ModelAsk ask, long waitMillis) {
        return Single.create(
                e -> stub(controller, waitMillis).askModel(ask, new GrpcPeerClient.OneReply<>(e)));
    }

    @Override
    public Single<HoldingsReply> report(Member controller, UseReport report) {
        return Single.<HoldingsReply>create(
                        e ->
                                stub(controller, REPORT_MILLIS)
                                        .reportUse(report, new GrpcPeerClient.OneReply<>(e)))
                .doOnError(e -> mChannels.replace(controller));
    }
}
