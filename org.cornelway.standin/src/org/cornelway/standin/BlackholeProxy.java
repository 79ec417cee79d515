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
 * A TCP proxy that can permanently stop forwarding on its open connections while new ones work.
 *
 * <p>Neither end of such a connection is notified, as after a network failure. Thread-safe.
 */
public final class BlackholeProxy {
    private static final String LOOPBACK = "127.0.0.1";

    private final NetServer mServer;
    private final NetClient mClient;
    private final int mTargetPort;
    private final List<AtomicBoolean> mConnections = new ArrayList<>();

    /**
     * @param targetPort port that connections are forwarded to
     */
    public BlackholeProxy(Vertx vertx, int targetPort) {
        mTargetPort = targetPort;
        mClient = vertx.createNetClient();
        mServer = vertx.createNetServer().connectHandler(this::connect);
    }

    /** Starts listening on a port; returns once it does. */
    public void listen(int port) {
        mServer.listen(port, LOOPBACK).await();
    }

    /** Stops forwarding on all open connections without closing them. */
    public synchronized void blackholeOpenConnections() {
        mConnections.forEach(blackholed -> blackholed.set(true));
        mConnections.clear();
    }

    private synchronized AtomicBoolean newConnection() {
        AtomicBoolean blackholed = new AtomicBoolean();
        mConnections.add(blackholed);
        return blackholed;
    }

    private void connect(NetSocket downstream) {
        AtomicBoolean blackholed = newConnection();
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
