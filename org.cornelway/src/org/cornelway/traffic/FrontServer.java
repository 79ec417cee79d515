package org.cornelway.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.Polling;
import org.cornelway.time.Deadline;

/**
 * Listens for callers.
 *
 * <p>While it drains it still takes connections and requests for some seconds, since the balancer
 * and callers learn of the drain late, but asks callers to close after each answer. After that it
 * keeps only the connections with a call under way. Its connections are confined to the traffic
 * thread.
 */
public final class FrontServer implements Component {
    private static final int BACKLOG = 1_024;

    /** Unsent bytes of an answer from which its source is paused, and below which it goes on. */
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(32 << 10, 128 << 10);

    private static final long SWEEP_MILLIS = 50;

    /**
     * The balancer asks once a second and takes a process out after two misses; a call taken much
     * later might not end before the process must.
     */
    private static final long LEAST_DRAIN_MILLIS = 2_800;

    /** Time within which a connection that was idle when the drain ended may still bring a call. */
    private static final long LAST_CLOSE_MILLIS = 300;

    /** Time in which last answers leave. */
    private static final long FLUSH_MILLIS = 120;

    private final HttpEndpoint mEndpoint;
    private final TrafficContext mContext;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private volatile boolean mDraining;
    private boolean mLeaving;
    private volatile int mOpenCalls;
    private Optional<Channel> mChannel = Optional.empty();

    FrontServer(HttpEndpoint endpoint, TrafficContext context) {
        mEndpoint = endpoint;
        mContext = context;
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
                                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                                    .childHandler(new Initializer());
                    SocketOptions.all().forEach(bootstrap::childOption);
                    bootstrap
                            .bind(mEndpoint.host(), mEndpoint.port())
                            .addListener(
                                    (io.netty.channel.ChannelFuture done) -> {
                                        if (done.isSuccess()) {
                                            mChannel = Optional.of(done.channel());
                                            sweepRegularly();
                                            emitter.onComplete();
                                        } else {
                                            emitter.tryOnError(done.cause());
                                        }
                                    });
                });
    }

    private void sweepRegularly() {
        mContext.loop()
                .scheduleAtFixedRate(
                        this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        int open = 0;
        for (CallerConnection connection : Set.copyOf(mConnections)) {
            connection.tick();
            open += connection.isBusy() ? 1 : 0;
            if (mLeaving) {
                connection.closeIfIdle();
            }
        }
        mOpenCalls = open;
    }

    /** Wakes the calls that wait for models; called on the traffic thread. */
    void onHoldingsChanged() {
        Set.copyOf(mConnections).forEach(CallerConnection::onHoldingsChanged);
    }

    /** Wakes the calls that wait for a model that the controller named a server for. */
    void onModelGranted(ModelTarget target) {
        Set.copyOf(mConnections).forEach(connection -> connection.onModelGranted(target));
    }

    /** Whether callers are asked to go elsewhere. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Calls under way, as of the last sweep. */
    public int openCalls() {
        return mOpenCalls;
    }

    @Override
    public Completable drain(Deadline deadline) {
        return Completable.fromAction(() -> mDraining = true)
                .andThen(Completable.timer(LEAST_DRAIN_MILLIS, TimeUnit.MILLISECONDS))
                .andThen(Completable.fromAction(() -> mContext.loop().execute(this::leave)))
                .andThen(Completable.timer(LAST_CLOSE_MILLIS, TimeUnit.MILLISECONDS))
                .andThen(Polling.until(Schedulers.single(), () -> isDrained(deadline)))
                .andThen(Completable.fromAction(() -> mContext.loop().execute(this::abandon)))
                .andThen(Completable.timer(FLUSH_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Answers the calls that are still open: a call that did not run may go elsewhere. */
    private void abandon() {
        Set.copyOf(mConnections).forEach(CallerConnection::abandon);
    }

    private boolean isDrained(Deadline last) {
        return last.isPast(mContext.clock().nowMillis()) || mOpenCalls == 0;
    }

    /** Takes no call any more; those that wait without a send may still run elsewhere. */
    private void leave() {
        mLeaving = true;
        mChannel.ifPresent(Channel::close);
        Set.copyOf(mConnections).forEach(CallerConnection::refuseWaiting);
        sweep();
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(() -> mChannel.ifPresent(Channel::close));
    }

    /** Builds the pipeline of a caller's connection. */
    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            int maxHeader = mContext.view().get().limits().maxHeaderBytes();
            CallerConnection connection =
                    new CallerConnection(
                            mContext, () -> mDraining, () -> mLeaving, mConnections::remove);
            mConnections.add(connection);
            channel.pipeline()
                    .addLast(
                            new StrictRequestDecoder(maxHeader),
                            new HttpResponseEncoder(),
                            connection);
        }
    }
}
