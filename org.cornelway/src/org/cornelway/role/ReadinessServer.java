package org.cornelway.role;

import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.cornelway.http.WebServer;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.supervisor.Component;

/**
 * Serves the readiness check and the metrics on a Vert.x instance of its own, which it creates at
 * start.
 *
 * <p>Called only by its supervisor.
 */
final class ReadinessServer implements Component {
    private final HttpEndpoint mEndpoint;
    private final ReadinessHandler mHandler;
    private Completable mStop = Completable.complete();

    ReadinessServer(HttpEndpoint endpoint, ReadinessHandler handler) {
        mEndpoint = endpoint;
        mHandler = handler;
    }

    @Override
    public String name() {
        return "readiness-server";
    }

    @Override
    public Completable start() {
        Vertx vertx = newVertx();
        WebServer server = new WebServer(vertx, mEndpoint.host(), mEndpoint.port(), mHandler);
        mStop = server.stop().andThen(Completable.fromAction(vertx::close));
        return server.start();
    }

    private static Vertx newVertx() {
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1));
    }

    @Override
    public Completable stop() {
        return Completable.defer(() -> mStop);
    }
}
