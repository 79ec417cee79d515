package org.cornelway.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;
import org.cornelway.config.Json;

/**
 * A plain service that records each call that changes something in a book shared by its instances.
 *
 * <p>Confined to one event loop.
 */
public final class PlainServiceStandin {
    private final Vertx mVertx;
    private final Map<String, Integer> mBook;
    private long mDelayMillis = 2;
    private boolean mAnswersLost;

    /**
     * @param book runs by body; shared by the instances of the service
     */
    public PlainServiceStandin(Vertx vertx, Map<String, Integer> book) {
        mVertx = vertx;
        mBook = book;
    }

    /** The answer to a recorded call. */
    private record Receipt(String booked, int runs) {}

    /** Adds the routes. */
    public void add(Router router) {
        router.route().handler(BodyHandler.create(false));
        router.post("/behaviour").handler(this::setBehaviour);
        router.get("/book").handler(context -> context.response().end(bytes(mBook)));
        router.post("/*").handler(this::record);
        router.get("/*").handler(context -> answer(context, bytes(mBook)));
    }

    private void setBehaviour(RoutingContext context) {
        mDelayMillis = context.body().asJsonObject().getLong("delayMillis", 2L);
        mAnswersLost = context.body().asJsonObject().getBoolean("answersLost", false);
        context.response().end("{}");
    }

    private void record(RoutingContext context) {
        String body = context.body().asString();
        int runs = mBook.merge(body == null ? "" : body, 1, Integer::sum);
        answer(context, bytes(new Receipt(body, runs)));
    }

    private void answer(RoutingContext context, Buffer body) {
        mVertx.setTimer(
                Math.max(1, mDelayMillis),
                timer -> {
                    if (mAnswersLost) {
                        context.request().connection().close();
                    } else if (!context.response().closed()) {
                        context.response().putHeader("Content-Type", "application/json").end(body);
                    }
                });
    }

    private static Buffer bytes(Object value) {
        return Buffer.buffer(Json.write(value));
    }
}
