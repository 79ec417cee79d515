package org.cornelway.internal.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import org.cornelway.config.Json;
import org.cornelway.platform.InstanceList;
import org.cornelway.platform.Member;

/** Reads the instance list over HTTP as a JSON array. Thread-safe. */
public final class HttpInstanceList implements InstanceList {
    private static final long TIMEOUT_MILLIS = 2_000;

    private final HttpCaller mHttp;

    /**
     * @param endpoint where the platform serves the list
     */
    public HttpInstanceList(Vertx vertx, HttpEndpoint endpoint) {
        mHttp = new HttpCaller(vertx, endpoint, 1, TIMEOUT_MILLIS, true);
    }

    @Override
    public Single<List<Member>> instances() {
        return mHttp.send("GET", "/v1/instances", "", new byte[0], TIMEOUT_MILLIS)
                .map(
                        reply -> {
                            if (!reply.isSuccess()) {
                                throw new IOException("status " + reply.status());
                            }
                            return Json.mapper()
                                    .readValue(reply.body(), new TypeReference<List<Member>>() {});
                        });
    }
}
