package org.cornelway.internal.grpc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.function.Supplier;
import org.cornelway.relay.RelayMessages;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.DescribeRequest;
import org.cornelway.rpc.PeerServiceGrpc;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;

/**
 * The gRPC service that a process offers to its peers. Thread-safe; descriptions are created on the
 * control thread.
 */
public final class PeerServer extends PeerServiceGrpc.PeerServiceImplBase {
    private final RelayMessages mMessages;
    private final Scheduler mControl;
    private final Supplier<DescribeReply> mDescription;

    /**
     * @param messages handles the relay requests
     * @param description creates the description of this process; called on the control thread
     */
    public PeerServer(
            RelayMessages messages, Scheduler control, Supplier<DescribeReply> description) {
        mMessages = messages;
        mControl = control;
        mDescription = description;
    }

    @Override
    public void relay(RelayRequest request, StreamObserver<RelayReply> observer) {
        ((ServerCallStreamObserver<RelayReply>) observer).setCompression("gzip");
        observer.onNext(mMessages.handleRequest(request));
        observer.onCompleted();
    }

    @Override
    public void describe(DescribeRequest request, StreamObserver<DescribeReply> observer) {
        mControl.scheduleDirect(
                () -> {
                    observer.onNext(mDescription.get());
                    observer.onCompleted();
                });
    }
}
