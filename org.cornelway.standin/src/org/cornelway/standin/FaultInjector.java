package org.cornelway.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import org.cornelway.config.Json;

/**
 * Injects faults into a stand-in: an outage, lost responses or a delay.
 *
 * <p>A test sets the faults by {@code POST /fault}, which replaces all faults set before. Confined
 * to the event loop of its router.
 */
final class FaultInjector {
    private final Vertx mVertx;
    private boolean mUnavailable;
    private boolean mResponsesLost;
    private long mDelayMillis;

    FaultInjector(Vertx vertx) {
        mVertx = vertx;
    }

    /** Adds the HTTP route that sets the faults. */
    void addRoute(Router router) {
        router.post("/fault").handler(BodyHandler.create(false)).handler(this::setFaults);
    }

    private void setFaults(RoutingContext context) {
        try {
            JsonNode json = Json.lenientMapper().readTree(context.body().buffer().getBytes());
            mUnavailable = json.path("outage").asBoolean(false);
            mResponsesLost = json.path("answersLost").asBoolean(false);
            mDelayMillis = json.path("delayMillis").asLong(0);
            context.response().end("{}");
        } catch (IOException e) {
            context.fail(400);
        }
    }

    /**
     * Wraps a handler. During an outage, the connection of each request is closed and the handler
     * is not called; with a delay, the handler is called later. The handler must respond through
     * {@link #respond}, which closes the connection instead while responses are to be lost.
     */
    Handler<RoutingContext> withFaults(Handler<RoutingContext> handler) {
        return context -> {
            if (mUnavailable) {
                closeConnection(context);
            } else if (mDelayMillis > 0) {
                mVertx.setTimer(mDelayMillis, timer -> handler.handle(context));
            } else {
                handler.handle(context);
            }
        };
    }

    /**
     * Sends a value as JSON, or closes the connection if responses are to be lost. Does nothing if
     * the response is already closed.
     */
    void respond(RoutingContext context, Object value) {
        if (mResponsesLost) {
            closeConnection(context);
            return;
        }
        HttpServerResponse response = context.response();
        if (!response.closed()) {
            response.putHeader("Content-Type", "application/json")
                    .end(io.vertx.core.buffer.Buffer.buffer(Json.write(value)));
        }
    }

    private static void closeConnection(RoutingContext context) {
        context.request().connection().close();
    }
}
