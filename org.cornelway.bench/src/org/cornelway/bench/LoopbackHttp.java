package org.cornelway.bench;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Blocking HTTP calls to this machine's own processes. Thread-safe. */
public final class LoopbackHttp {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_CONNECTIONS = 256;

    private final HttpClient mClient;

    /**
     * @param vertx runs the client
     */
    public LoopbackHttp(Vertx vertx) {
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setKeepAlive(false),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * A response. Immutable.
     *
     * @param status HTTP status
     * @param resultCode number of the result code, -1 if none was sent
     * @param body the body
     */
    public record Response(int status, int resultCode, String body) {}

    /** A header of a request. Immutable. */
    public record Header(String name, String value) {}

    /** Sends a request without waiting; fails if the connection breaks. */
    public CompletableFuture<Response> send(
            String method, int port, String path, String body, Header... headers) {
        CompletableFuture<Response> reply = new CompletableFuture<>();
        mClient.request(HttpMethod.valueOf(method), port, LOOPBACK, path)
                .compose(
                        request -> {
                            add(request, headers);
                            return request.send(Buffer.buffer(body));
                        })
                .compose(response -> response.body().map(bytes -> reply(response, bytes)))
                .onSuccess(reply::complete)
                .onFailure(reply::completeExceptionally);
        return reply;
    }

    private static void add(HttpClientRequest request, Header... headers) {
        request.putHeader("Content-Type", "application/json");
        for (Header header : headers) {
            request.putHeader(header.name(), header.value());
        }
    }

    private static Response reply(HttpClientResponse response, Buffer body) {
        String code = response.getHeader("X-Result-Code");
        return new Response(
                response.statusCode(),
                code == null ? -1 : Integer.parseInt(code),
                body.toString(StandardCharsets.UTF_8));
    }

    /** Sends a request and waits for its reply. */
    public Response call(String method, int port, String path, String body, Header... headers) {
        try {
            return send(method, port, path, body, headers).get(120, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException(method + " " + path + ": " + e, e);
        }
    }

    /** Whether a path answers with status 200 now. */
    public boolean isOk(int port, String path) {
        try {
            return call("GET", port, path, "").status() == 200;
        } catch (IllegalStateException e) {
            return false;
        }
    }
}
