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
 * Pool of gRPC channels, one for each address that was called.
 *
 * <p>A channel stays open until it is replaced, its process is no longer a member, or the pool is
 * stopped. Thread-safe. {@link #reconnect} replaces a channel whose connection has stopped
 * responding; calls in progress on the old channel are not interrupted.
 */
public final class ChannelPool implements Component {
    private static final int MAX_MESSAGE_BYTES = 8 << 20;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int FLOW_CONTROL_WINDOW_BYTES = 256 << 10;
    private static final int CALLBACK_THREADS = 2;

    /**
     * Minimum age at which a channel is replaced. If a caller reports that a younger channel is
     * silent, the silence probably began earlier, on the channel that the younger one replaced.
     */
    private static final long MIN_REPLACE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final Map<String, PooledChannel> mChannels = new ConcurrentHashMap<>();
    private final ExecutorService mCallbackExecutor =
            Executors.newFixedThreadPool(CALLBACK_THREADS, r -> new Thread(r, "grpc-client"));

    /** A channel and the time at which it was opened. */
    private record PooledChannel(ManagedChannel channel, long openedNanos) {
        boolean isYoung() {
            return System.nanoTime() - openedNanos < MIN_REPLACE_AGE_NANOS;
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
                    mChannels.values().forEach(pooled -> pooled.channel().shutdownNow());
                    mCallbackExecutor.shutdownNow();
                });
    }

    /** Returns the channel to a process, which may not be connected yet. */
    public ManagedChannel channel(Member member) {
        return mChannels.computeIfAbsent(member.address(), this::open).channel();
    }

    /**
     * Returns the channel to a process once it is connected; fails after {@link
     * #CONNECT_TIMEOUT_MILLIS}.
     */
    public Single<ManagedChannel> connectedChannel(Member member) {
        ManagedChannel channel = channel(member);
        return Completable.create(emitter -> awaitReady(channel, () -> emitter.onComplete()))
                .timeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .toSingleDefault(channel);
    }

    private static void awaitReady(ManagedChannel channel, Runnable onReady) {
        ConnectivityState state = channel.getState(true);
        if (state == ConnectivityState.READY) {
            onReady.run();
        } else if (state != ConnectivityState.SHUTDOWN) {
            channel.notifyWhenStateChanged(state, () -> awaitReady(channel, onReady));
        }
    }

    /**
     * Replaces the channel to a process, unless the channel is younger than {@link
     * #MIN_REPLACE_AGE_NANOS}. Many calls on one channel notice at the same time that its
     * connection is silent; only the first of them replaces it.
     */
    public void reconnect(Member member) {
        mChannels.compute(
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

    /** Closes the channels to processes that are no longer members. */
    public void closeAllExcept(Map<String, Member> members) {
        Set<String> addresses = new HashSet<>();
        members.values().forEach(member -> addresses.add(member.address()));
        for (String address : mChannels.keySet()) {
            if (!addresses.contains(address)) {
                mChannels.remove(address).channel().shutdown();
            }
        }
    }

    private PooledChannel open(String address) {
        ManagedChannel channel =
                NettyChannelBuilder.forTarget("dns:///" + address)
                        .usePlaintext()
                        .executor(mCallbackExecutor)
                        .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .keepAliveTime(10, TimeUnit.SECONDS)
                        .keepAliveTimeout(2, TimeUnit.SECONDS)
                        .build();
        return new PooledChannel(channel, System.nanoTime());
    }
}
