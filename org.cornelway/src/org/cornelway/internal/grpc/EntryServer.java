package org.cornelway.internal.grpc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.reactivex.rxjava3.core.Scheduler;
import org.cornelway.cluster.ControllerRequestHandler;
import org.cornelway.rpc.EntryServiceGrpc;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.UseReport;

/** Answers other entries. Thread-safe; the work is done on the control thread. */
public final class EntryServer extends EntryServiceGrpc.EntryServiceImplBase {
    private final ControllerRequestHandler mDesk;
    private final Scheduler mControl;

    /**
     * @param desk this process's part as controller
     */
    public EntryServer(ControllerRequestHandler desk, Scheduler control) {
        mDesk = desk;
        mControl = control;
    }

    @Override
    public void askModel(ModelAsk ask, StreamObserver<ModelGrant> observer) {
        ServerCallStreamObserver<ModelGrant> call = (ServerCallStreamObserver<ModelGrant>) observer;
        mControl.scheduleDirect(
                () ->
                        mDesk.handleModelRequest(
                                ask,
                                grant -> {
                                    if (!call.isCancelled()) {
                                        call.onNext(grant);
                                        call.onCompleted();
                                    }
                                }));
    }

    @Override
    public void reportUse(UseReport report, StreamObserver<HoldingsReply> observer) {
        mControl.scheduleDirect(
                () -> {
                    observer.onNext(mDesk.handleUseReport(report));
                    observer.onCompleted();
                });
    }
}
