package org.cornelway.internal.grpc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.reactivex.rxjava3.core.Scheduler;
import org.cornelway.cluster.ControllerRequestHandler;
import org.cornelway.rpc.EntryServiceGrpc;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.QuotaReply;
import org.cornelway.rpc.QuotaReport;
import org.cornelway.rpc.UseReport;

/**
 * The gRPC service that an entry offers to other entries. Thread-safe; calls are handled on the
 * control thread.
 */
public final class EntryServer extends EntryServiceGrpc.EntryServiceImplBase {
    private final ControllerRequestHandler mHandler;
    private final Scheduler mControl;

    /**
     * @param handler handles the requests that this process receives as the controller
     */
    public EntryServer(ControllerRequestHandler handler, Scheduler control) {
        mHandler = handler;
        mControl = control;
    }

    @Override
    public void askModel(ModelAsk request, StreamObserver<ModelGrant> observer) {
        ServerCallStreamObserver<ModelGrant> call = (ServerCallStreamObserver<ModelGrant>) observer;
        mControl.scheduleDirect(
                () ->
                        mHandler.handleModelRequest(
                                request,
                                grant -> {
                                    if (!call.isCancelled()) {
                                        call.onNext(grant);
                                        call.onCompleted();
                                    }
                                }));
    }

    @Override
    public void takeQuota(QuotaReport request, StreamObserver<QuotaReply> observer) {
        mControl.scheduleDirect(
                () -> {
                    observer.onNext(mHandler.handleQuotaReport(request));
                    observer.onCompleted();
                });
    }

    @Override
    public void reportUse(UseReport report, StreamObserver<HoldingsReply> observer) {
        mControl.scheduleDirect(
                () -> {
                    observer.onNext(mHandler.handleUsageReport(report));
                    observer.onCompleted();
                });
    }
}
