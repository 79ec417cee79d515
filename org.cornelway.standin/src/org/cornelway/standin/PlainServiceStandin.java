package org.cornelway.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;
import org.cornelway.config.Json;

/**
 * A plain service that counts how often each POST request was executed, across all its instances.
 * Requests with equal bodies count as the same request.
 *
 * <p>Confined to one event loop.
 */
public final class PlainServiceStandin {
    private final Vertx mVertx;
    private final Map<String, Integer> mExecutions;
    private long mDelayMillis = 2;
    private boolean mDropsResponses;

    /**
     * @param executions number of executions by request body, shared by all instances of the
     *     service
     */
    public PlainServiceStandin(Vertx vertx, Map<String, Integer> executions) {
        mVertx = vertx;
        mExecutions = executions;
    }

    /**
     * The response to a POST request.
     *
     * @param booked the request body
     * @param runs number of executions of the request, including this one
     */
    private record Receipt(String booked, int runs) {}

    /**
     * Adds the HTTP routes of the service. {@code /behaviour} sets the response delay and whether
     * responses are dropped, {@code /book} returns the executions without delay, and all other
     * paths belong to the service itself.
     */
    public void addRoutes(Router router) {
        router.route().handler(BodyHandler.create(false));
        router.post("/behaviour").handler(this::setBehaviour);
        router.get("/book").handler(context -> context.response().end(toJson(mExecutions)));
        router.post("/*").handler(this::record);
        router.get("/*").handler(context -> respond(context, toJson(mExecutions)));
    }

    private void setBehaviour(RoutingContext context) {
        mDelayMillis = context.body().asJsonObject().getLong("delayMillis", 2L);
        mDropsResponses = context.body().asJsonObject().getBoolean("answersLost", false);
        context.response().end("{}");
    }

    private void record(RoutingContext context) {
        String body = context.body().asString();
        int runs = mExecutions.merge(body == null ? "" : body, 1, Integer::sum);
        respond(context, toJson(new Receipt(body, runs)));
    }

    private void respond(RoutingContext context, Buffer body) {
        mVertx.setTimer(
                Math.max(1, mDelayMillis),
                timer -> {
                    if (mDropsResponses) {
                        context.request().connection().close();
                    } else if (!context.response().closed()) {
                        context.response().putHeader("Content-Type", "application/json").end(body);
                    }
                });
    }

    private static Buffer toJson(Object value) {
        return Buffer.buffer(Json.write(value));
    }
}
