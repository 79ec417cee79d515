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

    private final Map<String, ManagedChannel> mChannels = new ConcurrentHashMap<>();
    private final ExecutorService mCallbacks =
            Executors.newFixedThreadPool(CALLBACK_THREADS, r -> new Thread(r, "grpc-client"));

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
                    mChannels.values().forEach(ManagedChannel::shutdownNow);
                    mCallbacks.shutdownNow();
                });
    }

    /** The channel to a process; it may not be connected. */
    public ManagedChannel channel(Member member) {
        return mChannels.computeIfAbsent(member.address(), this::open);
    }

    /** The channel to a process once it is connected; fails if that takes too long. */
    public Single<ManagedChannel> connected(Member member) {
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

    /** Replaces the connection to a process. */
    public void replace(Member member) {
        ManagedChannel old = mChannels.put(member.address(), open(member.address()));
        if (old != null) {
            old.shutdown();
        }
    }

    /** Closes connections to processes that are no members any more. */
    public void retain(Map<String, Member> members) {
        Set<String> addresses = new HashSet<>();
        members.values().forEach(member -> addresses.add(member.address()));
        for (String address : mChannels.keySet()) {
            if (!addresses.contains(address)) {
                ManagedChannel gone = mChannels.remove(address);
                gone.shutdown();
            }
        }
    }

    private ManagedChannel open(String address) {
        return NettyChannelBuilder.forTarget("dns:///" + address)
                .usePlaintext()
                .executor(mCallbacks)
                .flowControlWindow(WINDOW_BYTES)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .keepAliveTime(10, TimeUnit.SECONDS)
                .keepAliveTimeout(2, TimeUnit.SECONDS)
                .build();
    }
}
