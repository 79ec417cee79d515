package org.cornelway.internal.grpc;

import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.TimeUnit;
import org.cornelway.cluster.ControllerClient;
import org.cornelway.platform.Member;
import org.cornelway.rpc.EntryServiceGrpc;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.QuotaReply;
import org.cornelway.rpc.QuotaReport;
import org.cornelway.rpc.UseReport;

/** Calls the controller, which is one of the entries, over gRPC. Thread-safe. */
public final class GrpcControllerClient implements ControllerClient {
    /**
     * Time limit of a usage report. Reports are answered at once, so if one takes longer, the
     * connection has stopped responding and is replaced.
     */
    private static final long REPORT_TIMEOUT_MILLIS = 900;

    private final ChannelPool mChannels;
    private final ClusterKeyAuthenticator mAuthenticator;

    /**
     * @param channels connections to the entries
     */
    public GrpcControllerClient(ChannelPool channels, ClusterKeyAuthenticator authenticator) {
        mChannels = channels;
        mAuthenticator = authenticator;
    }

    private EntryServiceGrpc.EntryServiceStub stub(Member member, long timeoutMillis) {
        return EntryServiceGrpc.newStub(mChannels.channel(member))
                .withCallCredentials(mAuthenticator)
                .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public Single<ModelGrant> requestModel(Member controller, ModelAsk request, long waitMillis) {
        return Single.create(
                emitter ->
                        stub(controller, waitMillis)
                                .askModel(
                                        request,
                                        new GrpcPeerClient.SingleReplyObserver<>(emitter)));
    }

    @Override
    public Single<QuotaReply> takeQuota(Member entry, QuotaReport report, long waitMillis) {
        return Single.create(
                emitter ->
                        stub(entry, waitMillis)
                                .takeQuota(
                                        report, new GrpcPeerClient.SingleReplyObserver<>(emitter)));
    }

    @Override
    public Single<HoldingsReply> reportUsage(Member controller, UseReport report) {
        return Single.<HoldingsReply>create(
                        emitter ->
                                stub(controller, REPORT_TIMEOUT_MILLIS)
                                        .reportUse(
                                                report,
                                                new GrpcPeerClient.SingleReplyObserver<>(emitter)))
                .doOnError(e -> mChannels.reconnect(controller));
    }
}
