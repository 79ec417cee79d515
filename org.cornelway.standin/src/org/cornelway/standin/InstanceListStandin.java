package org.cornelway.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import org.cornelway.config.Json;
import org.cornelway.platform.Member;

/**
 * A stand-in for the platform's instance list, in which changes become visible after a delay.
 *
 * <p>Confined to one event loop.
 */
public final class InstanceListStandin {
    private final Vertx mVertx;
    private final long mLagMillis;
    private final Map<String, Member> mVisible = new TreeMap<>();

    /** Number of changes that have become visible; sent as the entity tag. */
    private long mVersion;

    /**
     * @param lagMillis time until a change becomes visible
     */
    public InstanceListStandin(Vertx vertx, long lagMillis) {
        mVertx = vertx;
        mLagMillis = lagMillis;
    }

    /** Adds the HTTP routes of the instance list. */
    public void addRoutes(Router router) {
        router.get("/v1/instances").handler(this::list);
        router.put("/v1/instances/:id").handler(BodyHandler.create(false)).handler(this::put);
        router.delete("/v1/instances/:id").handler(this::remove);
    }

    private void list(RoutingContext context) {
        String entityTag = "\"" + mVersion + "\"";
        if (entityTag.equals(context.request().getHeader("If-None-Match"))) {
            context.response().setStatusCode(304).end();
            return;
        }
        context.response()
                .putHeader("ETag", entityTag)
                .putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(Json.write(new ArrayList<>(mVisible.values()))));
    }

    private void put(RoutingContext context) {
        byte[] body = context.body().buffer().getBytes();
        Json.read(body, Member.class)
                .ifPresent(member -> applyAfterLag(() -> mVisible.put(member.id(), member)));
        context.response().end("{}");
    }

    private void remove(RoutingContext context) {
        String id = context.pathParam("id");
        applyAfterLag(() -> mVisible.remove(id));
        context.response().end("{}");
    }

    private void applyAfterLag(Runnable change) {
        if (mLagMillis == 0) {
            apply(change);
        } else {
            mVertx.setTimer(mLagMillis, timer -> apply(change));
        }
    }

    private void apply(Runnable change) {
        change.run();
        mVersion++;
    }
}
