package org.cornelway.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cornelway.config.Json;

/** Routes for liveness, readiness and metrics. Stateless and thread-safe. */
public final class OperationalRoutes {
    private static final ObjectMapper METRICS_MAPPER =
            new ObjectMapper()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private OperationalRoutes() {}

    /** Response body of the liveness and readiness checks. */
    private record Readiness(boolean ready) {}

    /**
     * Adds the routes to a router.
     *
     * @param ready whether the process accepts new requests
     */
    public static void add(Router router, MetricRegistry metrics, BooleanSupplier ready) {
        router.get("/livez").handler(context -> sendJson(context, 200, new Readiness(true)));
        router.get("/readyz")
                .handler(
                        context -> {
                            boolean isReady = ready.getAsBoolean();
                            sendJson(context, isReady ? 200 : 503, new Readiness(isReady));
                        });
        router.get("/metrics").handler(context -> sendMetrics(context, metrics));
    }

    private static void sendMetrics(RoutingContext context, MetricRegistry metrics) {
        try {
            Buffer body = Buffer.buffer(METRICS_MAPPER.writeValueAsBytes(metrics));
            context.response().putHeader("Content-Type", "application/json").end(body);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            context.fail(e);
        }
    }

    /** Sends a value as a JSON response. */
    static void sendJson(RoutingContext context, int status, Object value) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(Json.write(value)));
    }
}
