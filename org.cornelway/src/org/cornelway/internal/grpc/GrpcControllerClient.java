package org.cornelway.internal.grpc;

import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.TimeUnit;
import org.cornelway.cluster.ControllerClient;
import org.cornelway.platform.Member;
import org.cornelway.rpc.EntryServiceGrpc;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.UseReport;

/** Calls other entries over gRPC. Thread-safe. */
public final class GrpcControllerClient implements ControllerClient {
    /** A report is answered at once; a connection that takes longer has gone silent. */
    private static final long REPORT_MILLIS = 900;

    private final ChannelPool mChannels;
    private final ClusterKeyAuthenticator mKey;

    /**
     * @param channels connections to the entries
     */
    public GrpcControllerClient(ChannelPool channels, ClusterKeyAuthenticator key) {
        mChannels = channels;
        mKey = key;
    }

    private EntryServiceGrpc.EntryServiceStub stub(Member member, long millis) {
        return EntryServiceGrpc.newStub(mChannels.channel(member))
                .withCallCredentials(mKey)
                .withDeadlineAfter(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public Single<ModelGrant> requestModel(Member controller, ModelAsk ask, long waitMillis) {
        return Single.create(
                e ->
                        stub(controller, waitMillis)
                                .askModel(ask, new GrpcPeerClient.SingleReplyObserver<>(e)));
    }

    @Override
    public Single<HoldingsReply> reportUsage(Member controller, UseReport report) {
        return Single.<HoldingsReply>create(
                        e ->
                                stub(controller, REPORT_MILLIS)
                                        .reportUse(
                                                report,
                                                new GrpcPeerClient.SingleReplyObserver<>(e)))
                .doOnError(e -> mChannels.reconnect(controller));
    }
}
