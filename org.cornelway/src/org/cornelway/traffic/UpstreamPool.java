package org.cornelway.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cornelway.time.Clock;

/**
 * Opens and keeps connections to backend servers and to the platform.
 *
 * <p>The connection used last is used first, so that few are kept. Confined to the traffic thread.
 */
final class UpstreamPool {
    /** A lost opening packet is sent again after a second; another server answers sooner. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final Bootstrap mBootstrap;
    private final CallCodec mCodec;
    private final Clock mClock;
    private final Map<String, Lane> mLanes = new HashMap<>();
    private long mOpened;

    /** The connections to one address. */
    private static final class Lane {
        private final Deque<UpstreamConnection> mIdle = new ArrayDeque<>();
        private int mOpen;
    }

    /** What became of a request for a connection. */
    interface AcquireListener {
        void onAcquired(UpstreamConnection connection);

        void onConnectFailed(String reason);
    }

    UpstreamPool(EventLoopGroup loop, CallCodec codec, Clock clock) {
        mCodec = codec;
        mClock = clock;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        SocketOptions.all().forEach(mBootstrap::option);
    }

    /** Connections opened so far. */
    long openedCount() {
        return mOpened;
    }

    /** Gives an idle connection at once, or opens one. */
    void acquire(String host, int port, AcquireListener opening) {
        String address = host + ":" + port;
        Lane lane = mLanes.computeIfAbsent(address, key -> new Lane());
        for (UpstreamConnection idle = lane.mIdle.pollLast();
                idle != null;
                idle = lane.mIdle.pollLast()) {
            if (idle.isReusable()) {
                opening.onAcquired(idle);
                return;
            }
            idle.close();
        }
        open(host, port, lane, opening);
    }

    private void open(String host, int port, Lane lane, AcquireListener opening) {
        lane.mOpen++;
        mOpened++;
        String address = host + ":" + port;
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        UpstreamConnection connection =
                new UpstreamConnection(mCodec, decoder, this, address, mClock);
        mBootstrap
                .clone()
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(decoder, new HttpRequestEncoder(), connection);
                            }
                        })
                .connect(host, port)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                opening.onAcquired(connection);
                            } else {
                                lane.mOpen--;
                                opening.onConnectFailed(String.valueOf(done.cause().getMessage()));
                            }
                        });
    }

    /** Takes a connection back after a whole answer. */
    void release(UpstreamConnection connection) {
        Lane lane = mLanes.computeIfAbsent(connection.address(), key -> new Lane());
        lane.mIdle.addLast(connection);
    }

    /** Notes that an opened connection closed. */
    void onClosed(UpstreamConnection connection) {
        Lane lane = mLanes.get(connection.address());
        if (lane != null) {
            lane.mOpen--;
            lane.mIdle.remove(connection);
        }
    }

    /** Closes idle connections that may not be used again, and all to addresses not wanted. */
    void sweep(Set<String> wanted) {
        for (String address : new HashSet<>(mLanes.keySet())) {
            Lane lane = mLanes.get(address);
            Consumer<UpstreamConnection> close = UpstreamConnection::close;
            lane.mIdle.stream()
                    .filter(idle -> !wanted.contains(address) || !idle.isReusable())
                    .toList()
                    .forEach(close);
            if (lane.mOpen <= 0 && lane.mIdle.isEmpty()) {
                mLanes.remove(address);
            }
        }
    }
}
