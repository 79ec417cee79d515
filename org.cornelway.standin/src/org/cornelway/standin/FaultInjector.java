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
 * Lets a test put a stand-in out of order: {@code POST /fault}.
 *
 * <p>Confined to the event loop of its router.
 */
final class FaultInjector {
    private final Vertx mVertx;
    private boolean mOutage;
    private boolean mAnswersLost;
    private long mDelayMillis;

    FaultInjector(Vertx vertx) {
        mVertx = vertx;
    }

    void add(Router router) {
        router.post("/fault").handler(BodyHandler.create(false)).handler(this::set);
    }

    private void set(RoutingContext context) {
        try {
            JsonNode json = Json.mapper().readTree(context.body().buffer().getBytes());
            mOutage = json.path("outage").asBoolean(false);
            mAnswersLost = json.path("answersLost").asBoolean(false);
            mDelayMillis = json.path("delayMillis").asLong(0);
            context.response().end("{}");
        } catch (IOException e) {
            context.fail(400);
        }
    }

    /** Wraps a handler that does its work first and then answers through what it is given. */
    Handler<RoutingContext> withFaults(Handler<RoutingContext> handler) {
        return context -> {
            if (mOutage) {
                drop(context);
            } else if (mDelayMillis > 0) {
                mVertx.setTimer(mDelayMillis, timer -> handler.handle(context));
            } else {
                handler.handle(context);
            }
        };
    }

    /** Answers, unless the answer is to be lost. */
    void respond(RoutingContext context, Object value) {
        if (mAnswersLost) {
            drop(context);
            return;
        }
        HttpServerResponse response = context.response();
        if (!response.closed()) {
            response.putHeader("Content-Type", "application/json")
                    .end(io.vertx.core.buffer.Buffer.buffer(Json.write(value)));
        }
    }

    private static void drop(RoutingContext context) {
        context.request().connection().close();
    }
}
