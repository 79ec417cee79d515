package org.cornelway.internal.grpc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.cornelway.agent.AgentCore;
import org.cornelway.agent.AgentExchange;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.rpc.AgentServiceGrpc;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.WithdrawReply;
import org.cornelway.rpc.WithdrawRequest;
import org.cornelway.time.Deadline;

/**
 * The gRPC service that an agent offers to entries.
 *
 * <p>Thread-safe; requests are passed to the control thread.
 */
public final class AgentServer extends AgentServiceGrpc.AgentServiceImplBase {
    private final AgentCore mCore;
    private final Scheduler mControl;
    private final String mIncarnation;
    private final Function<Optional<AgentExchange>, AgentLoad> mLoad;
    private final BiConsumer<Long, Long> mOnEntryRevisions;
    private final Map<FrameWriter, AgentExchange> mOpenCalls = new ConcurrentHashMap<>();

    /**
     * @param incarnation identifies this run of the agent's process
     * @param load creates the load report for a frame; its argument is the exchange of the frame's
     *     call, or empty if the call has none yet; called on any thread
     * @param onEntryRevisions receives the revisions of the entry's configuration and placement, in
     *     this order; called on a gRPC thread
     */
    public AgentServer(
            AgentCore core,
            Scheduler control,
            String incarnation,
            Function<Optional<AgentExchange>, AgentLoad> load,
            BiConsumer<Long, Long> onEntryRevisions) {
        mCore = core;
        mControl = control;
        mIncarnation = incarnation;
        mLoad = load;
        mOnEntryRevisions = onEntryRevisions;
    }

    @Override
    public void exchange(ExchangeRequest request, StreamObserver<Frame> observer) {
        ServerCallStreamObserver<Frame> call = (ServerCallStreamObserver<Frame>) observer;
        AgentExchange[] exchangeHolder = new AgentExchange[1];
        FrameWriter writer =
                new FrameWriter(
                        request.getRequestId(),
                        call,
                        () -> mLoad.apply(Optional.ofNullable(exchangeHolder[0])));
        call.setOnCancelHandler(() -> onClosed(writer));
        call.setOnCloseHandler(() -> onClosed(writer));
        mOnEntryRevisions.accept(
                request.getConfigurationRevision(), request.getPlacementRevision());
        mControl.scheduleDirect(() -> startOrAttach(request, writer, exchangeHolder));
    }

    private void startOrAttach(
            ExchangeRequest request, FrameWriter writer, AgentExchange[] exchangeHolder) {
        Optional<AgentExchange> exchange = mCore.startOrAttach(request, writer);
        exchange.ifPresent(
                value -> {
                    exchangeHolder[0] = value;
                    mOpenCalls.put(writer, value);
                    writer.writeProgress(value.state() != AgentExchange.State.WAITING);
                    // The call may have closed before it was added to the open calls.
                    if (writer.isClosed()) {
                        onClosed(writer);
                    }
                });
    }

    private void onClosed(FrameWriter writer) {
        writer.close();
        AgentExchange exchange = mOpenCalls.remove(writer);
        if (exchange != null) {
            exchange.answer().detach(writer);
        }
    }

    /**
     * Sends a progress frame on each open call, so that the entry knows that the exchange is alive.
     */
    public void sendProgress() {
        mOpenCalls.forEach(
                (writer, exchange) ->
                        writer.writeProgress(exchange.state() != AgentExchange.State.WAITING));
    }

    /**
     * Returns the number of exchange calls that are still open. A call closes after its final frame
     * was written, or when its entry cancels it.
     */
    public int openCallCount() {
        return mOpenCalls.size();
    }

    @Override
    public void withdraw(WithdrawRequest request, StreamObserver<WithdrawReply> observer) {
        mControl.scheduleDirect(
                () -> {
                    Deadline deadline = new Deadline(request.getDeadlineMillis());
                    WithdrawReply reply =
                            WithdrawReply.newBuilder()
                                    .setOutcome(mCore.withdraw(request.getRequestId(), deadline))
                                    .setIncarnation(mIncarnation)
                                    .build();
                    observer.onNext(reply);
                    observer.onCompleted();
                });
    }
}
