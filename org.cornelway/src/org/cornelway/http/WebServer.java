package org.cornelway.http;

import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.cornelway.supervisor.Component;

/** HTTP server of a process. Started and stopped by the process's supervisor only. */
public final class WebServer implements Component {
    private static final int IDLE_TIMEOUT_SECONDS = 300;

    private final HttpServer mServer;

    /**
     * @param port TCP port, 0 for any free port
     * @param router handles the requests
     */
    public WebServer(Vertx vertx, String host, int port, Handler<HttpServerRequest> router) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(host)
                        .setPort(port)
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS);
        mServer = vertx.createHttpServer(options).requestHandler(router);
    }

    @Override
    public String name() {
        return "web-server";
    }

    @Override
    public Completable start() {
        return Completable.create(
                emitter ->
                        mServer.listen()
                                .onSuccess(server -> emitter.onComplete())
                                .onFailure(emitter::tryOnError));
    }

    @Override
    public Completable stop() {
        return Completable.create(
                emitter -> mServer.close().onComplete(result -> emitter.onComplete()));
    }
}
