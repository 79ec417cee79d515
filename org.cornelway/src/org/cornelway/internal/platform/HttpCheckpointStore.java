package org.cornelway.internal.platform;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.platform.CheckpointStore;

/** Reads the size of checkpoints from the checkpoint store over HTTP. Thread-safe. */
public final class HttpCheckpointStore implements CheckpointStore {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int NOT_FOUND = 404;

    private final HttpEndpointClient mHttp;

    /**
     * @param endpoint endpoint of the checkpoint store
     */
    public HttpCheckpointStore(Vertx vertx, HttpEndpoint endpoint) {
        mHttp = new HttpEndpointClient(vertx, endpoint, 2, TIMEOUT_MILLIS);
    }

    @Override
    public Single<Optional<Long>> checkpointBytes(String model) {
        return mHttp.send("GET", "/v1/checkpoints/" + model, "", new byte[0], TIMEOUT_MILLIS)
                .map(HttpCheckpointStore::parseBytes);
    }

    private static Optional<Long> parseBytes(HttpReply reply) throws IOException {
        if (reply.status() == NOT_FOUND) {
            return Optional.empty();
        }
        if (!reply.isSuccess()) {
            throw new IOException("the checkpoint store answered status " + reply.status());
        }
        return Optional.of(Json.readDocument(reply.body()).path("bytes").asLong());
    }
}
