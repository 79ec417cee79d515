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
 * A link between two processes whose open connections can go silent for good while new ones work.
 *
 * <p>Thread-safe.
 */
public final class BlackholeProxy {
    private static final String LOOPBACK = "127.0.0.1";

    private final NetServer mServer;
    private final NetClient mClient;
    private final int mTargetPort;
    private final List<AtomicBoolean> mConnections = new ArrayList<>();

    /**
     * @param targetPort where connections are carried to
     */
    public BlackholeProxy(Vertx vertx, int targetPort) {
        mTargetPort = targetPort;
        mClient = vertx.createNetClient();
        mServer = vertx.createNetServer().connectHandler(this::connect);
    }

    /** Listens on a port; waits until it does. */
    public void listen(int port) {
        mServer.listen(port, LOOPBACK).await();
    }

    /** Makes all open connections silent; neither end is told. */
    public synchronized void blackholeOpenConnections() {
        mConnections.forEach(silent -> silent.set(true));
        mConnections.clear();
    }

    private synchronized AtomicBoolean newConnection() {
        AtomicBoolean silent = new AtomicBoolean();
        mConnections.add(silent);
        return silent;
    }

    private void connect(NetSocket near) {
        AtomicBoolean silent = newConnection();
        near.pause();
        mClient.connect(mTargetPort, LOOPBACK)
                .onSuccess(
                        far -> {
                            carry(near, far, silent);
                            carry(far, near, silent);
                            near.resume();
                        })
                .onFailure(e -> near.close());
    }

    private static void carry(NetSocket from, NetSocket to, AtomicBoolean silent) {
        from.handler(
                (Buffer data) -> {
                    if (!silent.get()) {
                        to.write(data);
                    }
                });
        from.closeHandler(
                closed -> {
                    if (!silent.get()) {
                        to.close();
                    }
                });
    }
}
