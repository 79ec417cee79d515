package org.cornelway.internal.grpc;

import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import org.cornelway.entry.AgentGateway;
import org.cornelway.entry.FrameListener;
import org.cornelway.platform.Member;
import org.cornelway.rpc.AgentServiceGrpc;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.WithdrawReply;
import org.cornelway.rpc.WithdrawRequest;

/** Calls agents over gRPC. Thread-safe. */
public final class GrpcAgentGateway implements AgentGateway {
    private static final long WITHDRAW_TIMEOUT_MILLIS = 1_000;

    private final ChannelPool mChannels;
    private final ClusterKeyAuthenticator mAuthenticator;

    /**
     * @param channels connections to the agents
     * @param authenticator adds the cluster key to each call
     */
    public GrpcAgentGateway(ChannelPool channels, ClusterKeyAuthenticator authenticator) {
        mChannels = channels;
        mAuthenticator = authenticator;
    }

    @Override
    public Disposable exchange(
            Member agent, ExchangeRequest request, FrameListener listener, boolean reconnect) {
        if (reconnect) {
            mChannels.reconnect(agent);
        }
        CompositeDisposable cancellation = new CompositeDisposable();
        cancellation.add(
                mChannels
                        .connectedChannel(agent)
                        .subscribe(
                                channel -> call(channel, request, listener, cancellation),
                                e ->
                                        listener.onCallEnded(
                                                true, "no connection to " + agent.address())));
        return cancellation;
    }

    private void call(
            ManagedChannel channel,
            ExchangeRequest request,
            FrameListener listener,
            CompositeDisposable cancellation) {
        FrameObserver observer = new FrameObserver(listener);
        cancellation.add(Disposable.fromRunnable(observer::cancel));
        if (!cancellation.isDisposed()) {
            AgentServiceGrpc.newStub(channel)
                    .withCallCredentials(mAuthenticator)
                    .exchange(request, observer);
        }
    }

    @Override
    public Single<WithdrawReply> withdraw(Member agent, String requestId, long deadlineMillis) {
        WithdrawRequest request =
                WithdrawRequest.newBuilder()
                        .setRequestId(requestId)
                        .setDeadlineMillis(deadlineMillis)
                        .build();
        return Single.create(
                emitter ->
                        AgentServiceGrpc.newStub(mChannels.channel(agent))
                                .withCallCredentials(mAuthenticator)
                                .withDeadlineAfter(WITHDRAW_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                                .withdraw(
                                        request,
                                        new GrpcPeerClient.SingleReplyObserver<>(emitter)));
    }

    /**
     * Passes the frames of one call to the listener. {@link #cancel} may be called on any thread;
     * the other methods are called by gRPC.
     */
    private static final class FrameObserver
            implements ClientResponseObserver<ExchangeRequest, Frame> {
        private final FrameListener mListener;
        private volatile ClientCallStreamObserver<ExchangeRequest> mCall;
        private volatile boolean mCancelled;

        FrameObserver(FrameListener listener) {
            mListener = listener;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ExchangeRequest> call) {
            mCall = call;
        }

        void cancel() {
            mCancelled = true;
            ClientCallStreamObserver<ExchangeRequest> call = mCall;
            if (call != null) {
                call.cancel("the call is no longer needed", null);
            }
        }

        @Override
        public void onNext(Frame frame) {
            mListener.onFrame(frame);
        }

        @Override
        public void onError(Throwable e) {
            if (!mCancelled) {
                mListener.onCallEnded(false, String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void onCompleted() {
            if (!mCancelled) {
                mListener.onCallEnded(false, "the agent ended the call");
            }
        }
    }
}
