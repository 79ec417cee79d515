package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.cornelway.http.MetricsText;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.supervisor.Component;

/** Tells the balancer whether this process takes callers. Used by its supervisor only. */
final class ReadinessServer implements Component {
    private static final int IDLE_SECONDS = 30;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    private final HttpServer mServer;
    private final MetricRegistry mMetrics;
    private final BooleanSupplier mReady;

    ReadinessServer(
            Vertx vertx, HttpEndpoint endpoint, MetricRegistry metrics, BooleanSupplier ready) {
        mMetrics = metrics;
        mReady = ready;
        mServer =
                vertx.createHttpServer(
                                new HttpServerOptions()
                                        .setHost(endpoint.host())
                                        .setPort(endpoint.port())
                                        .setIdleTimeout(IDLE_SECONDS))
                        .requestHandler(this::answer);
    }

    private void answer(HttpServerRequest request) {
        switch (request.path()) {
            case "/ready" ->
                    request.response()
                            .setStatusCode(mReady.getAsBoolean() ? OK : UNAVAILABLE)
                            .end();
            case "/metrics" ->
                    request.response()
                            .putHeader("Content-Type", "text/plain; version=0.0.4")
                            .end(MetricsText.of(mMetrics));
            default -> request.response().setStatusCode(NOT_FOUND).end();
        }
    }

    @Override
    public String name() {
        return "readiness-server";
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
