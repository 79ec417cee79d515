package org.cornelway.admin;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.internal.platform.HttpEndpointClient;
import org.cornelway.internal.platform.HttpReply;

/** Client of an entry's administration API. Thread-safe. */
public final class AdminClient {
    private static final long CONNECT_TIMEOUT_MILLIS = 3_000;

    private final HttpEndpointClient mHttp;
    private final String mToken;
    private final String mAuthor;

    /**
     * @param entry address of the entry's HTTP API
     * @param token the operator's token
     * @param author name under which changes are recorded
     */
    public AdminClient(Vertx vertx, HttpEndpoint entry, String token, String author) {
        mHttp = new HttpEndpointClient(vertx, entry, 2, CONNECT_TIMEOUT_MILLIS);
        mToken = token;
        mAuthor = author;
    }

    /**
     * Sends one request and returns the reply, whatever its status. Fails if the connection cannot
     * be opened or breaks; otherwise waits for the reply without a time limit.
     *
     * @param path path below the API's prefix, with a leading slash
     */
    public Single<HttpReply> send(String method, String path, byte[] body) {
        return mHttp.openRequest(method, "/admin/v1" + path)
                .flatMap(request -> mHttp.sendAndCollect(addHeaders(request), body));
    }

    private HttpClientRequest addHeaders(HttpClientRequest request) {
        return request.putHeader("Authorization", "Bearer " + mToken)
                .putHeader("X-Author", mAuthor)
                .putHeader("Content-Type", "application/json");
    }
}
