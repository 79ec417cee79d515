package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.entry.AgentGateway;
import org.cornelway.entry.FrameListener;
import org.cornelway.exchange.AnswerSink;
import org.cornelway.exchange.Outcome;
import org.cornelway.platform.Member;
import org.cornelway.rpc.Chunk;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.Final;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.Progress;
import org.cornelway.rpc.WithdrawReply;

/**
 * An agent gateway with simulated, faulty connections.
 *
 * <p>Connections delay frames, break, silently drop all further traffic, repeat frames and deliver
 * frames of other calls. Used only by the thread of its run.
 */
public final class SimulatedGateway implements AgentGateway {
    private static final int MAX_DELAY_MILLIS = 15;
    private static final long PROGRESS_INTERVAL_MILLIS = 500;

    private final Map<String, SimulatedAgent> mAgents;
    private final Scheduler mScheduler;
    private final Random mRandom;
    private final FaultMix mMix;
    private final RunReport mReport;
    private final Map<String, Connection> mConnections = new HashMap<>();

    /**
     * The last frame sent on any call. A fault delivers it again, on whichever call sends the next
     * frame.
     */
    private Optional<Frame> mLastFrame = Optional.empty();

    private boolean mFaultsStopped;

    /**
     * @param agents the agents by instance id
     */
    public SimulatedGateway(
            Map<String, SimulatedAgent> agents,
            Scheduler scheduler,
            Random random,
            FaultMix mix,
            RunReport report) {
        mAgents = agents;
        mScheduler = scheduler;
        mRandom = random;
        mMix = mix;
        mReport = report;
    }

    /**
     * Stops injecting faults and replaces all connections, so that later calls get through. Calls
     * on a connection that is already silent receive nothing more.
     */
    void stopFaults() {
        mFaultsStopped = true;
        mConnections.clear();
    }

    /** A connection to one agent. Once it is silent, it drops all traffic in both directions. */
    private static final class Connection {
        private boolean mSilent;
    }

    /** Decides at random whether a fault occurs. */
    private boolean occurs(double probability) {
        return !mFaultsStopped && mRandom.nextDouble() < probability;
    }

    @Override
    public Disposable exchange(
            Member agent, ExchangeRequest request, FrameListener listener, boolean reconnect) {
        if (reconnect) {
            mConnections.remove(agent.id());
        }
        Connection connection = mConnections.computeIfAbsent(agent.id(), id -> new Connection());
        if (occurs(mMix.connectionFaultProbability())) {
            schedule(0, () -> listener.onCallEnded(true, "refused"));
            return Disposable.empty();
        }
        if (occurs(mMix.connectionFaultProbability())) {
            mReport.countFault(RunReport.FaultKind.CONNECTION_SILENT);
            connection.mSilent = true;
        }
        Disposable cancellation = Disposable.empty();
        SimulatedAgent target = mAgents.get(agent.id());
        SimulatedAgent.Incarnation incarnation = target.incarnation();
        schedule(
                target.remainingFreezeMillis(),
                () -> {
                    if (!connection.mSilent) {
                        incarnation.startOrAttach(
                                request,
                                new Call(
                                        target,
                                        incarnation,
                                        request,
                                        listener,
                                        connection,
                                        cancellation));
                    }
                });
        return cancellation;
    }

    /** Schedules a task after an extra delay and a random connection delay. */
    private void schedule(long extraMillis, Runnable task) {
        mScheduler.scheduleDirect(
                task, extraMillis + 1 + mRandom.nextInt(MAX_DELAY_MILLIS), TimeUnit.MILLISECONDS);
    }

    /** Sends the frames of one call from the agent back to the entry. */
    private final class Call implements AnswerSink {
        private final SimulatedAgent mAgent;
        private final SimulatedAgent.Incarnation mIncarnation;
        private final ExchangeRequest mRequest;
        private final FrameListener mListener;
        private final Connection mConnection;
        private final Disposable mCancellation;

        /**
         * When the last sent frame arrives; later frames arrive no earlier and so keep their order.
         */
        private long mLastArrivalMillis;

        private boolean mEnded;

        Call(
                SimulatedAgent agent,
                SimulatedAgent.Incarnation incarnation,
                ExchangeRequest request,
                FrameListener listener,
                Connection connection,
                Disposable cancellation) {
            mAgent = agent;
            mIncarnation = incarnation;
            mRequest = request;
            mListener = listener;
            mConnection = connection;
            mCancellation = cancellation;
            sendProgress();
        }

        private void sendProgress() {
            if (mEnded || mCancellation.isDisposed()) {
                return;
            }
            if (!mIncarnation.isAlive()) {
                schedule(0, () -> mListener.onCallEnded(false, "the agent process ended"));
                return;
            }
            Progress progress = Progress.newBuilder().setStarted(true).build();
            send(
                    newFrame()
                            .setProgress(progress)
                            .setLoad(mIncarnation.agentLoad(mRequest))
                            .build());
            mScheduler.scheduleDirect(
                    this::sendProgress, PROGRESS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        private Frame.Builder newFrame() {
            return Frame.newBuilder().setRequestId(mRequest.getRequestId());
        }

        @Override
        public void onChunk(long sequence, byte[] data) {
            Chunk chunk =
                    Chunk.newBuilder()
                            .setSequence(sequence)
                            .setData(com.google.protobuf.ByteString.copyFrom(data))
                            .build();
            send(newFrame().setChunk(chunk).build());
        }

        @Override
        public void onEnd(Outcome outcome) {
            mEnded = true;
            Final finalPart =
                    Final.newBuilder()
                            .setChunkCount(outcome.chunkCount())
                            .setResultCode(outcome.code().number())
                            .setMessage(outcome.message())
                            .setHttpStatus(outcome.httpStatus())
                            .build();
            send(newFrame().setFinal(finalPart).setLoad(mIncarnation.agentLoad(mRequest)).build());
        }

        private void send(Frame frame) {
            if (!mIncarnation.isAlive()) {
                return;
            }
            if (occurs(mMix.connectionFaultProbability())) {
                mReport.countFault(RunReport.FaultKind.CONNECTION_SILENT);
                mConnection.mSilent = true;
            }
            if (occurs(mMix.connectionFaultProbability())) {
                mReport.countFault(RunReport.FaultKind.CONNECTION_BROKEN);
                mConnection.mSilent = true;
                schedule(0, () -> mListener.onCallEnded(false, "broken"));
            }
            long now = mScheduler.now(TimeUnit.MILLISECONDS);
            long arrivalMillis =
                    now + mAgent.remainingFreezeMillis() + 1 + mRandom.nextInt(MAX_DELAY_MILLIS);
            mLastArrivalMillis = Math.max(mLastArrivalMillis, arrivalMillis);
            int copies = 1;
            if (occurs(mMix.connectionFaultProbability())) {
                mReport.countFault(RunReport.FaultKind.FRAME_REPEATED);
                copies = 2;
                mLastFrame.ifPresent(other -> deliver(other, mLastArrivalMillis - now));
            }
            for (int copy = 0; copy < copies; copy++) {
                deliver(frame, mLastArrivalMillis - now);
            }
            mLastFrame = Optional.of(frame);
        }

        private void deliver(Frame frame, long delayMillis) {
            mScheduler.scheduleDirect(
                    () -> {
                        if (!mConnection.mSilent && !mCancellation.isDisposed()) {
                            mListener.onFrame(frame);
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public Single<WithdrawReply> withdraw(Member agent, String requestId, long deadlineMillis) {
        SimulatedAgent target = mAgents.get(agent.id());
        SimulatedAgent.Incarnation incarnation = target.incarnation();
        long delay = target.remainingFreezeMillis() + 1 + mRandom.nextInt(MAX_DELAY_MILLIS);
        return Single.timer(delay, TimeUnit.MILLISECONDS, mScheduler)
                .map(
                        tick ->
                                incarnation
                                        .withdraw(requestId, deadlineMillis)
                                        .orElseThrow(
                                                () -> new IOException("the agent process ended")))
                .timeout(1_000, TimeUnit.MILLISECONDS, mScheduler);
    }
}
