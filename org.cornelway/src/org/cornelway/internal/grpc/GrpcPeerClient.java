package org.cornelway.internal.grpc;

import io.grpc.stub.StreamObserver;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.Member;
import org.cornelway.relay.PeerClient;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.DescribeRequest;
import org.cornelway.rpc.PeerServiceGrpc;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;

/** Calls peers over gRPC. Thread-safe. */
public final class GrpcPeerClient implements PeerClient {
    private static final long TIMEOUT_MILLIS = 1_500;

    private final ChannelPool mChannels;
    private final ClusterKeyAuthenticator mAuthenticator;
    private final WireByteCounter mByteCounter;

    /**
     * @param channels connections to the peers
     * @param authenticator adds the cluster key to each call
     * @param byteCounter counts the bytes of the calls
     */
    public GrpcPeerClient(
            ChannelPool channels,
            ClusterKeyAuthenticator authenticator,
            WireByteCounter byteCounter) {
        mChannels = channels;
        mAuthenticator = authenticator;
        mByteCounter = byteCounter;
    }

    @Override
    public Single<RelayReply> relay(Member peer, RelayRequest request) {
        return Single.<RelayReply>create(
                        emitter -> stub(peer).relay(request, new SingleReplyObserver<>(emitter)))
                .doOnError(e -> mChannels.reconnect(peer));
    }

    @Override
    public Single<DescribeReply> describe(Member peer) {
        DescribeRequest request = DescribeRequest.getDefaultInstance();
        return Single.create(
                emitter -> stub(peer).describe(request, new SingleReplyObserver<>(emitter)));
    }

    private PeerServiceGrpc.PeerServiceStub stub(Member peer) {
        return PeerServiceGrpc.newStub(mChannels.channel(peer))
                .withCallCredentials(mAuthenticator)
                .withCompression("gzip")
                .withInterceptors(mByteCounter)
                .withDeadlineAfter(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Passes the reply of a unary call to an emitter. */
    static final class SingleReplyObserver<T> implements StreamObserver<T> {
        private final SingleEmitter<T> mEmitter;

        SingleReplyObserver(SingleEmitter<T> emitter) {
            mEmitter = emitter;
        }

        @Override
        public void onNext(T reply) {
            mEmitter.onSuccess(reply);
        }

        @Override
        public void onError(Throwable e) {
            mEmitter.tryOnError(e);
        }

        @Override
        public void onCompleted() {
            // onNext has already passed on the reply.
        }
    }
}
