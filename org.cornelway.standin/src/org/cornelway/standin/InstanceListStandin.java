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

/** The platform's instance list, which shows changes after a lag. Confined to one event loop. */
public final class InstanceListStandin {
    private final Vertx mVertx;
    private final long mLagMillis;
    private final Map<String, Member> mShown = new TreeMap<>();
    private long mVersion;

    /**
     * @param lagMillis time until a change shows
     */
    public InstanceListStandin(Vertx vertx, long lagMillis) {
        mVertx = vertx;
        mLagMillis = lagMillis;
    }

    /** Adds the routes. */
    public void add(Router router) {
        router.get("/v1/instances").handler(this::list);
        router.put("/v1/instances/:id").handler(BodyHandler.create(false)).handler(this::put);
        router.delete("/v1/instances/:id").handler(this::remove);
    }

    private void list(RoutingContext context) {
        String tag = "\"" + mVersion + "\"";
        if (tag.equals(context.request().getHeader("If-None-Match"))) {
            context.response().setStatusCode(304).end();
            return;
        }
        context.response()
                .putHeader("ETag", tag)
                .putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(Json.write(new ArrayList<>(mShown.values()))));
    }

    private void put(RoutingContext context) {
        byte[] body = context.body().buffer().getBytes();
        Json.read(body, Member.class)
                .ifPresent(member -> later(() -> mShown.put(member.id(), member)));
        context.response().end("{}");
    }

    private void remove(RoutingContext context) {
        String id = context.pathParam("id");
        later(() -> mShown.remove(id));
        context.response().end("{}");
    }

    private void later(Runnable change) {
        if (mLagMillis == 0) {
            show(change);
        } else {
            mVertx.setTimer(mLagMillis, timer -> show(change));
        }
    }

    private void show(Runnable change) {
        change.run();
        mVersion++;
    }
}
