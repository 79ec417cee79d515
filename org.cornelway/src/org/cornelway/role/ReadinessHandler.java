package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.cornelway.http.MetricsText;

/** Answers the readiness checks of the load balancer and serves the metrics. Thread-safe. */
final class ReadinessHandler implements Handler<HttpServerRequest> {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    private final MetricRegistry mMetrics;
    private final BooleanSupplier mReady;

    ReadinessHandler(MetricRegistry metrics, BooleanSupplier ready) {
        mMetrics = metrics;
        mReady = ready;
    }

    @Override
    public void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/ready" ->
                    request.response()
                            .setStatusCode(mReady.getAsBoolean() ? OK : UNAVAILABLE)
                            .end();
            case "/metrics" ->
                    request.response()
                            .putHeader("Content-Type", "text/plain; version=0.0.4")
                            .end(MetricsText.format(mMetrics));
            default -> request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
