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
 * Connections that are slow, break, go silent for good, and repeat or cross frames.
 *
 * <p>Used by the thread of its run.
 */
public final class SimulatedGateway implements AgentGateway {
    private static final int MAX_DELAY_MILLIS = 15;
    private static final long PROGRESS_MILLIS = 500;

    private final Map<String, SimulatedAgent> mAgents;
    private final Scheduler mScheduler;
    private final Random mRandom;
    private final FaultMix mMix;
    private final RunReport mReport;
    private final Map<String, Connection> mConnections = new HashMap<>();
    private Optional<Frame> mLastFrame = Optional.empty();
    private boolean mQuiet;

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

    void stopFaults() {
        mQuiet = true;
        mConnections.clear();
    }

    /** A connection; a silent one carries nothing any more in either direction. */
    private static final class Connection {
        private boolean mSilent;
    }

    private boolean happens(double share) {
        return !mQuiet && mRandom.nextDouble() < share;
    }

    @Override
    public Disposable exchange(
            Member agent, ExchangeRequest request, FrameListener listener, boolean fresh) {
        if (fresh) {
            mConnections.remove(agent.id());
        }
        Connection connection = mConnections.computeIfAbsent(agent.id(), id -> new Connection());
        if (happens(mMix.connection())) {
            later(0, () -> listener.onCallFailed(true, "refused"));
            return Disposable.empty();
        }
        if (happens(mMix.connection())) {
            mReport.countFault(RunReport.FaultKind.CONNECTION_SILENT);
            connection.mSilent = true;
        }
        Disposable open = Disposable.empty();
        SimulatedAgent target = mAgents.get(agent.id());
        SimulatedAgent.Incarnation life = target.incarnation();
        later(
                target.remainingFreezeMillis(),
                () -> {
                    if (!connection.mSilent) {
                        life.startOrAttach(
                                request,
                                new Call(target, life, request, listener, connection, open));
                    }
                });
        return open;
    }

    private void later(long extraMillis, Runnable task) {
        mScheduler.scheduleDirect(
                task, extraMillis + 1 + mRandom.nextInt(MAX_DELAY_MILLIS), TimeUnit.MILLISECONDS);
    }

    /** One call's way back. */
    private final class Call implements AnswerSink {
        private final SimulatedAgent mAgent;
        private final SimulatedAgent.Incarnation mLife;
        private final ExchangeRequest mRequest;
        private final FrameListener mListener;
        private final Connection mConnection;
        private final Disposable mOpen;
        private long mNextArrivalMillis;
        private boolean mEnded;

        Call(
                SimulatedAgent agent,
                SimulatedAgent.Incarnation life,
                ExchangeRequest request,
                FrameListener listener,
                Connection connection,
                Disposable open) {
            mAgent = agent;
            mLife = life;
            mRequest = request;
            mListener = listener;
            mConnection = connection;
            mOpen = open;
            progress();
        }

        private void progress() {
            if (mEnded || mOpen.isDisposed()) {
                return;
            }
            if (!mLife.isAlive()) {
                later(0, () -> mListener.onCallFailed(false, "the agent died"));
                return;
            }
            Progress progress = Progress.newBuilder().setStarted(true).build();
            send(frame().setProgress(progress).setLoad(mLife.load(mRequest)).build());
            mScheduler.scheduleDirect(this::progress, PROGRESS_MILLIS, TimeUnit.MILLISECONDS);
        }

        private Frame.Builder frame() {
            return Frame.newBuilder().setRequestId(mRequest.getRequestId());
        }

        @Override
        public void chunk(long sequence, byte[] data) {
            Chunk chunk =
                    Chunk.newBuilder()
                            .setSequence(sequence)
                            .setData(com.google.protobuf.ByteString.copyFrom(data))
                            .build();
            send(frame().setChunk(chunk).build());
        }

        @Override
        public void end(Outcome ending) {
            mEnded = true;
            Final mark =
                    Final.newBuilder()
                            .setChunkCount(ending.chunkCount())
                            .setResultCode(ending.code().number())
                            .setMessage(ending.message())
                            .setHttpStatus(ending.httpStatus())
                            .build();
            send(frame().setFinal(mark).setLoad(mLife.load(mRequest)).build());
        }

        private void send(Frame frame) {
            if (!mLife.isAlive()) {
                return;
            }
            if (happens(mMix.connection())) {
                mReport.countFault(RunReport.FaultKind.CONNECTION_SILENT);
                mConnection.mSilent = true;
            }
            if (happens(mMix.connection())) {
                mReport.countFault(RunReport.FaultKind.CONNECTION_BROKEN);
                mConnection.mSilent = true;
                later(0, () -> mListener.onCallFailed(false, "broken"));
            }
            long now = mScheduler.now(TimeUnit.MILLISECONDS);
            long arrival =
                    now + mAgent.remainingFreezeMillis() + 1 + mRandom.nextInt(MAX_DELAY_MILLIS);
            mNextArrivalMillis = Math.max(mNextArrivalMillis, arrival);
            int copies = 1;
            if (happens(mMix.connection())) {
                mReport.countFault(RunReport.FaultKind.FRAME_REPEATED);
                copies = 2;
                mLastFrame.ifPresent(other -> deliver(other, mNextArrivalMillis - now));
            }
            for (int copy = 0; copy < copies; copy++) {
                deliver(frame, mNextArrivalMillis - now);
            }
            mLastFrame = Optional.of(frame);
        }

        private void deliver(Frame frame, long delayMillis) {
            mScheduler.scheduleDirect(
                    () -> {
                        if (!mConnection.mSilent && !mOpen.isDisposed()) {
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
        SimulatedAgent.Incarnation life = target.incarnation();
        long delay = target.remainingFreezeMillis() + 1 + mRandom.nextInt(MAX_DELAY_MILLIS);
        return Single.timer(delay, TimeUnit.MILLISECONDS, mScheduler)
                .map(
                        tick ->
                                life.withdraw(requestId, deadlineMillis)
                                        .orElseThrow(() -> new IOException("the agent died")))
                .timeout(1_000, TimeUnit.MILLISECONDS, mScheduler);
    }
}
