package org.cornelway.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.functions.Action;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.GuardedTask;
import org.cornelway.supervisor.Polling;
import org.cornelway.time.Deadline;

/**
 * Accepts connections from callers.
 *
 * <p>While draining it still accepts connections and requests for some seconds, since the load
 * balancer and callers learn of the drain late, but it asks callers to close the connection after
 * each response. When this time is over, it keeps only the connections with a call in progress. Its
 * connections are confined to the traffic thread; {@link #isDraining}, {@link #openCallCount} and
 * {@link #sweepCount} may be called on any thread.
 */
public final class FrontServer implements Component {
    private static final int BACKLOG = 1_024;

    /**
     * Unsent bytes of a response below which reading from the backend server resumes, and above
     * which it is paused.
     */
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(32 << 10, 128 << 10);

    static final long SWEEP_INTERVAL_MILLIS = 50;

    /**
     * Longest time for which a draining process still accepts calls; at most half of the drain, so
     * that the other half is left for the calls to end. The load balancer probes once a second and
     * removes a process after two failed probes.
     */
    private static final long DRAIN_ACCEPT_MILLIS = 2_800;

    /** Time for sending the last responses, after the calls have ended or were abandoned. */
    private static final long FLUSH_MILLIS = 120;

    /** Order in which waiting calls get permits. */
    private static final Comparator<CallHandler> MOST_URGENT_FIRST =
            Comparator.comparing((CallHandler call) -> !call.isStreamBegun())
                    .thenComparingInt(call -> call.terms().priority())
                    .thenComparing(CallHandler::deadline);

    private final HttpEndpoint mEndpoint;
    private final TrafficContext mContext;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private final ConnectionSweep mConnectionSweep;
    private boolean mAcceptingStopped;
    private volatile int mOpenCalls;

    /** Number of completed sweeps; written by the traffic thread only. */
    private final AtomicLong mSweepCount = new AtomicLong();

    /** Whether accepting has stopped and all connections were closed at the last sweep. */
    private volatile boolean mDrained;

    private Optional<Channel> mChannel = Optional.empty();

    FrontServer(HttpEndpoint endpoint, TrafficContext context) {
        mEndpoint = endpoint;
        mContext = context;
        mConnectionSweep = new ConnectionSweep(context.metrics());
    }

    @Override
    public String name() {
        return "front-server";
    }

    @Override
    public Completable start() {
        return Completable.create(
                emitter -> {
                    ServerBootstrap bootstrap =
                            new ServerBootstrap()
                                    .group(mContext.loop().parent())
                                    .channel(NioServerSocketChannel.class)
                                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                                    .option(ChannelOption.SO_REUSEADDR, true)
                                    // All that wait are accepted at once and read together, while
                                    // the delay that they have met still counts.
                                    .option(ChannelOption.MAX_MESSAGES_PER_READ, BACKLOG)
                                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                                    .childHandler(new PipelineInitializer());
                    SocketOptions.all().forEach(bootstrap::childOption);
                    bootstrap
                            .bind(mEndpoint.host(), mEndpoint.port())
                            .addListener(
                                    (io.netty.channel.ChannelFuture future) -> {
                                        if (future.isSuccess()) {
                                            mChannel = Optional.of(future.channel());
                                            scheduleSweeps();
                                            emitter.onComplete();
                                        } else {
                                            emitter.tryOnError(future.cause());
                                        }
                                    });
                });
    }

    private void scheduleSweeps() {
        mContext.loopDelay().start();
        mContext.loop()
                .scheduleAtFixedRate(
                        new GuardedTask("sweep of connections", mContext.metrics(), this::sweep),
                        SWEEP_INTERVAL_MILLIS,
                        SWEEP_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Checks the deadlines of all connections and counts the calls in progress. Closes the idle
     * connections if the server no longer accepts calls.
     */
    private void sweep() {
        mContext.metrics().histogram("traffic.delay_millis").update(mContext.loopDelay().tick());
        mOpenCalls = mConnectionSweep.tickAll(mConnections);
        if (mAcceptingStopped) {
            Set.copyOf(mConnections).forEach(CallerConnection::closeIfIdle);
            mDrained = mConnections.isEmpty();
        }
        mSweepCount.incrementAndGet();
    }

    /**
     * Notifies the waiting calls that the models held by servers may have changed. Called on the
     * traffic thread.
     */
    void onHoldingsChanged() {
        Set.copyOf(mConnections).forEach(CallerConnection::onHoldingsChanged);
    }

    /**
     * Notifies the waiting calls that there are permits for calls to limited servers: the streams
     * that have begun first, then the others by priority and deadline. Called on the traffic
     * thread.
     */
    void onPermits() {
        mConnections.stream()
                .flatMap(connection -> connection.call().stream())
                .filter(CallHandler::isWaiting)
                .sorted(MOST_URGENT_FIRST)
                .toList()
                .forEach(call -> call.guard().run(call::dispatchIfWaiting));
    }

    /**
     * Notifies the calls that wait for a model that the controller has named a server that holds
     * it. Called on the traffic thread.
     */
    void onModelGranted(ModelTarget target) {
        Set.copyOf(mConnections).forEach(connection -> connection.onModelGranted(target));
    }

    /** Whether draining has begun; it is never undone. */
    public boolean isDraining() {
        return mContext.drain().isDraining();
    }

    /** Returns the number of calls in progress, as of the last sweep. */
    public int openCallCount() {
        return mOpenCalls;
    }

    /** Returns how often the deadlines of all connections have been checked to the end. */
    public long sweepCount() {
        return mSweepCount.get();
    }

    @Override
    public Completable drain(Deadline deadline) {
        long now = mContext.clock().nowMillis();
        long acceptMillis = Math.min(DRAIN_ACCEPT_MILLIS, deadline.remainingMillis(now) / 2);
        Deadline acceptUntil = Deadline.after(now, acceptMillis);
        return Completable.fromAction(() -> mContext.drain().begin(acceptUntil))
                .andThen(Completable.timer(acceptMillis, TimeUnit.MILLISECONDS))
                .andThen(Completable.fromAction(() -> mContext.loop().execute(this::stopAccepting)))
                .andThen(Polling.until(Schedulers.single(), () -> shouldEndDrain(deadline)))
                .andThen(onTrafficThread(this::abandonCalls))
                .andThen(Completable.timer(FLUSH_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Completes when the traffic thread has run an action. */
    private Completable onTrafficThread(Action action) {
        return Completable.fromAction(action)
                .subscribeOn(Schedulers.from(mContext.loop()))
                .onErrorComplete();
    }

    /**
     * Ends the calls in progress. If the response says that a call did not run, its caller can
     * retry it at another process.
     */
    private void abandonCalls() {
        Set.copyOf(mConnections).forEach(CallerConnection::abandon);
    }

    /** Whether the deadline of the drain has passed or no caller waits for a response. */
    private boolean shouldEndDrain(Deadline deadline) {
        return deadline.isPast(mContext.clock().nowMillis()) || mDrained;
    }

    /**
     * Stops accepting calls and refuses those that wait to be sent and cannot have run, so that
     * their callers can retry them at another process.
     */
    private void stopAccepting() {
        mAcceptingStopped = true;
        mChannel.ifPresent(Channel::close);
        Set.copyOf(mConnections).forEach(CallerConnection::refuseIfWaiting);
        sweep();
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(() -> mChannel.ifPresent(Channel::close));
    }

    /** Builds the channel pipeline of a caller's connection. */
    private final class PipelineInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            int maxHeaderBytes = mContext.view().get().limits().maxHeaderBytes();
            CallerResponseEncoder encoder = new CallerResponseEncoder();
            CallerConnection connection =
                    new CallerConnection(mContext, encoder, mConnections::remove);
            mConnections.add(connection);
            channel.pipeline()
                    .addLast(new StrictRequestDecoder(maxHeaderBytes), encoder, connection);
        }
    }
}
