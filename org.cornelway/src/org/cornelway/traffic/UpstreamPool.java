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
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cornelway.eventlog.EventLog;
import org.cornelway.time.Clock;

/**
 * Opens and pools connections to backend servers and to the platform.
 *
 * <p>The connection released last is reused first, so that few connections are kept. Confined to
 * the traffic thread.
 */
final class UpstreamPool {
    /** TCP retransmits a lost SYN only after a second; trying another server is faster. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final Bootstrap mBootstrap;
    private final CallCodec mCodec;
    private final Clock mClock;
    private final EventLog mLog;
    private final ResponseMemory mMemory = ResponseMemory.ofHeap();
    private final Map<String, AddressPool> mAddressPools = new HashMap<>();
    private long mOpenedCount;

    /** The connections to one address. */
    private static final class AddressPool {
        private final Deque<UpstreamConnection> mIdle = new ArrayDeque<>();

        /** Number of connections that are open or being opened. */
        private int mOpenCount;
    }

    /** Receives the result of acquiring a connection. Called on the traffic thread. */
    interface AcquireListener {
        /**
         * Whether a kept connection may carry the request. A request that was sent on a connection
         * before must not be sent on it again: a second response to the first send could not be
         * told from the response to the second.
         */
        default boolean accepts(UpstreamConnection connection) {
            return true;
        }

        /** Passes on an open connection without an outstanding request. */
        void onAcquired(UpstreamConnection connection);

        /** Reports that no connection could be opened. */
        void onConnectFailed(String reason);
    }

    UpstreamPool(EventLoopGroup loop, CallCodec codec, Clock clock, EventLog log) {
        mCodec = codec;
        mClock = clock;
        mLog = log;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        SocketOptions.all().forEach(mBootstrap::option);
    }

    /** The memory of all incomplete responses on connections of this pool. */
    ResponseMemory memory() {
        return mMemory;
    }

    /** Number of connections opened so far, failed attempts included. */
    long openedCount() {
        return mOpenedCount;
    }

    /** Number of idle connections that are kept for further requests. */
    int idleCount() {
        return mAddressPools.values().stream().mapToInt(pool -> pool.mIdle.size()).sum();
    }

    /**
     * Passes a reusable idle connection that the listener accepts to it before this method returns.
     * If there is none, opens a connection and passes on the result later.
     */
    void acquire(String host, int port, AcquireListener listener) {
        String address = host + ":" + port;
        AddressPool pool = mAddressPools.computeIfAbsent(address, key -> new AddressPool());
        Iterator<UpstreamConnection> lastReleasedFirst = pool.mIdle.descendingIterator();
        while (lastReleasedFirst.hasNext()) {
            UpstreamConnection idle = lastReleasedFirst.next();
            if (!idle.isReusable()) {
                lastReleasedFirst.remove();
                idle.close();
            } else if (listener.accepts(idle)) {
                lastReleasedFirst.remove();
                listener.onAcquired(idle);
                return;
            }
        }
        open(host, port, pool, listener);
    }

    private void open(String host, int port, AddressPool pool, AcquireListener listener) {
        pool.mOpenCount++;
        mOpenedCount++;
        String address = host + ":" + port;
        StrictResponseDecoder decoder = new StrictResponseDecoder(mMemory);
        UpstreamConnection connection =
                new UpstreamConnection(mCodec, decoder, this, address, mOpenedCount, mClock, mLog);
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
                        future -> {
                            if (future.isSuccess()) {
                                listener.onAcquired(connection);
                            } else {
                                pool.mOpenCount--;
                                listener.onConnectFailed(
                                        String.valueOf(future.cause().getMessage()));
                            }
                        });
    }

    /**
     * Returns a connection without an outstanding request to the pool. A connection that cannot be
     * reused is closed instead; the pool would not learn of the end of one that is closed already.
     */
    void release(UpstreamConnection connection) {
        if (!connection.isReusable()) {
            connection.close();
            return;
        }
        AddressPool pool =
                mAddressPools.computeIfAbsent(connection.address(), key -> new AddressPool());
        pool.mIdle.addLast(connection);
    }

    /** Removes a connection that was closed. */
    void onClosed(UpstreamConnection connection) {
        AddressPool pool = mAddressPools.get(connection.address());
        if (pool != null) {
            pool.mOpenCount--;
            pool.mIdle.remove(connection);
        }
    }

    /**
     * Closes the idle connections that cannot be reused, and all idle connections to addresses that
     * are not needed any more.
     *
     * @param keptAddresses addresses that are still needed, each as host:port
     */
    void sweep(Set<String> keptAddresses) {
        for (String address : new HashSet<>(mAddressPools.keySet())) {
            AddressPool pool = mAddressPools.get(address);
            Consumer<UpstreamConnection> close = UpstreamConnection::close;
            pool.mIdle.stream()
                    .filter(idle -> !keptAddresses.contains(address) || !idle.isReusable())
                    .toList()
                    .forEach(close);
            if (pool.mOpenCount <= 0 && pool.mIdle.isEmpty()) {
                mAddressPools.remove(address);
            }
        }
    }
}
