package org.cornelway.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A TCP proxy that can permanently stop forwarding on all open connections; new connections are
 * still forwarded.
 *
 * <p>Neither end of such a connection is notified, as after a network failure. Thread-safe. Closed
 * together with its Vert.x instance.
 */
public final class BlackholeProxy {
    private static final String LOOPBACK = "127.0.0.1";

    private final NetServer mServer;
    private final NetClient mClient;
    private final int mTargetPort;

    /** A flag per connection that is still forwarded, set when the connection is blackholed. */
    private final List<AtomicBoolean> mBlackholedFlags = new ArrayList<>();

    /**
     * @param targetPort loopback port that connections are forwarded to
     */
    public BlackholeProxy(Vertx vertx, int targetPort) {
        mTargetPort = targetPort;
        mClient = vertx.createNetClient();
        mServer = vertx.createNetServer().connectHandler(this::connect);
    }

    /** Starts listening on a loopback port; returns once the port accepts connections. */
    public void listen(int port) {
        mServer.listen(port, LOOPBACK).await();
    }

    /** Stops forwarding on all open connections without closing them. */
    public synchronized void blackholeOpenConnections() {
        mBlackholedFlags.forEach(blackholed -> blackholed.set(true));
        mBlackholedFlags.clear();
    }

    /** Registers a new connection; returns the flag that is set when it is blackholed. */
    private synchronized AtomicBoolean registerConnection() {
        AtomicBoolean blackholed = new AtomicBoolean();
        mBlackholedFlags.add(blackholed);
        return blackholed;
    }

    private void connect(NetSocket downstream) {
        AtomicBoolean blackholed = registerConnection();
        downstream.pause();
        mClient.connect(mTargetPort, LOOPBACK)
                .onSuccess(
                        upstream -> {
                            forward(downstream, upstream, blackholed);
                            forward(upstream, downstream, blackholed);
                            downstream.resume();
                        })
                .onFailure(e -> downstream.close());
    }

    private static void forward(NetSocket from, NetSocket to, AtomicBoolean blackholed) {
        from.handler(
                (Buffer data) -> {
                    if (!blackholed.get()) {
                        to.write(data);
                    }
                });
        from.closeHandler(
                closed -> {
                    if (!blackholed.get()) {
                        to.close();
                    }
                });
    }
}
