package org.cornelway.internal.platform;

import io.netty.handler.codec.http.HttpStatusClass;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;

/**
 * HTTP client for one endpoint that collects complete responses.
 *
 * <p>Invariant: each request opens a connection of its own, so that a dead connection is detected
 * before any byte of the request is sent, and no part of a late copy of an earlier response can be
 * taken for the response to this request; a response need not state which request it belongs to.
 * Thread-safe. Lives as long as its Vert.x instance.
 */
public final class HttpEndpointClient {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int ESTIMATED_HEADER_BYTES = 150;

    private final HttpClient mClient;
    private final HttpEndpoint mEndpoint;
    private final long mConnectTimeoutMillis;
    private final LongAdder mBytes = new LongAdder();

    /**
     * @param maxConnections largest number of open connections; further requests wait for one
     * @param connectTimeoutMillis longest time that a request waits for a connection
     */
    public HttpEndpointClient(
            Vertx vertx, HttpEndpoint endpoint, int maxConnections, long connectTimeoutMillis) {
        mEndpoint = endpoint;
        mConnectTimeoutMillis = connectTimeoutMillis;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setKeepAlive(false)
                                .setConnectTimeout((int) connectTimeoutMillis),
                        new PoolOptions().setHttp1MaxSize(maxConnections));
    }

    /**
     * Returns the number of body bytes sent and received, with an estimate for the headers of each
     * message.
     */
    public long transferredBytes() {
        return mBytes.sum();
    }

    /**
     * Opens a request; fails with {@link NotSentException} if it gets no connection within the
     * connect timeout.
     */
    public Single<HttpClientRequest> openRequest(String method, String path) {
        return Single.create(
                emitter -> {
                    RequestOptions options =
                            new RequestOptions()
                                    .setMethod(HttpMethod.valueOf(method))
                                    .setHost(mEndpoint.host())
                                    .setPort(mEndpoint.port())
                                    .setConnectTimeout(mConnectTimeoutMillis)
                                    .setURI(path);
                    mClient.request(options)
                            .onSuccess(emitter::onSuccess)
                            .onFailure(e -> emitter.tryOnError(notSent(e)));
                });
    }

    /**
     * Opens and sends a request and collects the response.
     *
     * @param contentType media type of the body; empty to send no Content-Type header
     * @param timeoutMillis time limit for the response, which starts when the connection is open
     * @return the response; fails with {@link NotSentException} if there is no connection, and with
     *     {@link TimeoutException} if the time limit is exceeded
     */
    public Single<HttpReply> send(
            String method, String path, String contentType, byte[] body, long timeoutMillis) {
        return openRequest(method, path)
                .flatMap(request -> sendWithContentType(request, contentType, body, timeoutMillis));
    }

    private Single<HttpReply> sendWithContentType(
            HttpClientRequest request, String contentType, byte[] body, long timeoutMillis) {
        if (!contentType.isEmpty()) {
            request.putHeader("Content-Type", contentType);
        }
        return sendAndCollect(request, body, timeoutMillis);
    }

    /**
     * Sends the body on an open request and collects the response within a time limit. If the limit
     * is exceeded, resets the request, which frees its connection, and fails with {@link
     * TimeoutException}.
     */
    public Single<HttpReply> sendAndCollect(
            HttpClientRequest request, byte[] body, long timeoutMillis) {
        return sendAndCollect(request, body)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .doOnError(
                        e -> {
                            if (e instanceof TimeoutException) {
                                request.reset();
                            }
                        });
    }

    /** Sends the body on an open request and collects the response, without a time limit. */
    public Single<HttpReply> sendAndCollect(HttpClientRequest request, byte[] body) {
        return Single.create(
                emitter ->
                        request.send(Buffer.buffer(body))
                                .compose(
                                        response ->
                                                collectIfDefined(request, response)
                                                        .map(bytes -> countBytes(body, bytes))
                                                        .map(bytes -> toReply(response, bytes)))
                                .onSuccess(emitter::onSuccess)
                                .onFailure(emitter::tryOnError));
    }

    /** Collects the body; fails if HTTP defines no such status, which says nothing. */
    private static Future<Buffer> collectIfDefined(
            HttpClientRequest request, HttpClientResponse response) {
        int status = response.statusCode();
        Future<Buffer> body = collect(request, response);
        return HttpStatusClass.valueOf(status) == HttpStatusClass.UNKNOWN
                ? body.compose(
                        b -> Future.failedFuture(new IOException("undefined status " + status)))
                : body;
    }

    /** Collects the body; if it is too long, resets the request and fails. */
    private static Future<Buffer> collect(HttpClientRequest request, HttpClientResponse response) {
        Promise<Buffer> body = Promise.promise();
        Buffer collected = Buffer.buffer();
        response.exceptionHandler(body::tryFail)
                .endHandler(end -> body.tryComplete(collected))
                .handler(
                        part -> {
                            if (collected.length() + part.length() <= MAX_RESPONSE_BYTES) {
                                collected.appendBuffer(part);
                            } else if (body.tryFail(tooLong())) {
                                request.reset();
                            }
                        });
        return body.future();
    }

    private static IOException tooLong() {
        return new IOException("a response of more than " + MAX_RESPONSE_BYTES + " bytes");
    }

    private Buffer countBytes(byte[] sent, Buffer received) {
        mBytes.add(2 * ESTIMATED_HEADER_BYTES + sent.length + received.length());
        return received;
    }

    private static HttpReply toReply(HttpClientResponse response, Buffer body) {
        String type = response.getHeader("Content-Type");
        String tag = response.getHeader("ETag");
        return new HttpReply(
                response.statusCode(),
                type == null ? "" : type,
                body.getBytes(),
                tag == null ? "" : tag,
                headers(response));
    }

    private static Map<String, String> headers(HttpClientResponse response) {
        Map<String, String> headers = new HashMap<>();
        response.headers()
                .forEach((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
        return Map.copyOf(headers);
    }

    private Throwable notSent(Throwable cause) {
        return new NotSentException("no connection to " + mEndpoint + ": " + cause.getMessage());
    }
}
