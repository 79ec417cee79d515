package org.cornelway.internal.grpc;

import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.Member;
import org.cornelway.supervisor.Component;

/**
 * Keeps one connection to each process that was called.
 *
 * <p>Thread-safe. A connection that went silent is replaced; calls on the old one end by
 * themselves.
 */
public final class ChannelPool implements Component {
    private static final int MAX_MESSAGE_BYTES = 8 << 20;
    private static final long CONNECT_LIMIT_MILLIS = 1_000;
    private static final int WINDOW_BYTES = 256 << 10;
    private static final int CALLBACK_THREADS = 2;

    /** A younger connection was opened after the silence that a caller complains of began. */
    private static final long LEAST_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final Map<String, Link> mLinks = new ConcurrentHashMap<>();
    private final ExecutorService mCallbacks =
            Executors.newFixedThreadPool(CALLBACK_THREADS, r -> new Thread(r, "grpc-client"));

    /** A connection with the time at which it was opened. */
    private record Link(ManagedChannel channel, long openedNanos) {
        boolean isYoung() {
            return System.nanoTime() - openedNanos < LEAST_AGE_NANOS;
        }
    }

    @Override
    public String name() {
        return "channels";
    }

    @Override
    public Completable start() {
        return Completable.complete();
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(
                () -> {
                    mLinks.values().forEach(link -> link.channel().shutdownNow());
                    mCallbacks.shutdownNow();
                });
    }

    /** The channel to a process; it may not be connected. */
    public ManagedChannel channel(Member member) {
        return mLinks.computeIfAbsent(member.address(), this::open).channel();
    }

    /** The channel to a process once it is connected; fails if that takes too long. */
    public Single<ManagedChannel> connectedChannel(Member member) {
        ManagedChannel channel = channel(member);
        return Completable.create(emitter -> awaitReady(channel, () -> emitter.onComplete()))
                .timeout(CONNECT_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .toSingleDefault(channel);
    }

    private static void awaitReady(ManagedChannel channel, Runnable ready) {
        ConnectivityState state = channel.getState(true);
        if (state == ConnectivityState.READY) {
            ready.run();
        } else if (state != ConnectivityState.SHUTDOWN) {
            channel.notifyWhenStateChanged(state, () -> awaitReady(channel, ready));
        }
    }

    /**
     * Replaces the connection to a process, unless that was done a moment ago: many calls on one
     * connection find out about its silence at the same time.
     */
    public void reconnect(Member member) {
        mLinks.compute(
                member.address(),
                (address, old) -> {
                    if (old == null) {
                        return open(address);
                    }
                    if (old.isYoung()) {
                        return old;
                    }
                    old.channel().shutdown();
                    return open(address);
                });
    }

    /** Closes connections to processes that are no members any more. */
    public void closeAllExcept(Map<String, Member> members) {
        Set<String> addresses = new HashSet<>();
        members.values().forEach(member -> addresses.add(member.address()));
        for (String address : mLinks.keySet()) {
            if (!addresses.contains(address)) {
                mLinks.remove(address).channel().shutdown();
            }
        }
    }

    private Link open(String address) {
        ManagedChannel channel =
                NettyChannelBuilder.forTarget("dns:///" + address)
                        .usePlaintext()
                        .executor(mCallbacks)
                        .flowControlWindow(WINDOW_BYTES)
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .keepAliveTime(10, TimeUnit.SECONDS)
                        .keepAliveTimeout(2, TimeUnit.SECONDS)
                        .build();
        return new Link(channel, System.nanoTime());
    }
}
