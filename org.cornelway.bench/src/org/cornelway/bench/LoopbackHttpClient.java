package org.cornelway.bench;

import io.vertx.core.Future;
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

/**
 * HTTP client for processes on the loopback address; opens a new connection for each request.
 *
 * <p>Thread-safe. Lives as long as its Vert.x instance.
 */
public final class LoopbackHttpClient {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_CONNECTIONS = 256;

    private final HttpClient mClient;

    /**
     * @param vertx Vert.x instance that runs the client
     */
    public LoopbackHttpClient(Vertx vertx) {
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setKeepAlive(false),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * A response. Immutable.
     *
     * @param status HTTP status
     * @param resultCode value of the {@code X-Result-Code} header, -1 if the response has none
     * @param body text of the body
     */
    public record Response(int status, int resultCode, String body) {}

    /** A request header. Immutable. */
    public record Header(String name, String value) {}

    /**
     * Sends a request and returns without waiting for the response. The future fails if the
     * connection fails.
     */
    public CompletableFuture<Response> send(
            String method, int port, String path, String body, Header... headers) {
        CompletableFuture<Response> result = new CompletableFuture<>();
        mClient.request(HttpMethod.valueOf(method), port, LOOPBACK, path)
                .compose(
                        request -> {
                            addHeaders(request, headers);
                            return sendAndCollect(request, body);
                        })
                .onSuccess(result::complete)
                .onFailure(result::completeExceptionally);
        return result;
    }

    /**
     * Sends a request and collects the response. Must be called on the event loop, so that the
     * handler of the body is set before the response is read: a handler that is set after the end
     * of the response is never called.
     */
    private static Future<Response> sendAndCollect(HttpClientRequest request, String body) {
        return request.send(Buffer.buffer(body))
                .compose(response -> response.body().map(bytes -> toResponse(response, bytes)));
    }

    private static void addHeaders(HttpClientRequest request, Header... headers) {
        request.putHeader("Content-Type", "application/json");
        for (Header header : headers) {
            request.putHeader(header.name(), header.value());
        }
    }

    private static Response toResponse(HttpClientResponse response, Buffer body) {
        String code = response.getHeader("X-Result-Code");
        return new Response(
                response.statusCode(),
                code == null ? -1 : Integer.parseInt(code),
                body.toString(StandardCharsets.UTF_8));
    }

    /**
     * Sends a request and waits up to two minutes for the response.
     *
     * @throws IllegalStateException if the request fails, no response arrives in that time or the
     *     calling thread is interrupted
     */
    public Response call(String method, int port, String path, String body, Header... headers) {
        try {
            return send(method, port, path, body, headers).get(120, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException(
                    method + " " + path + " failed (time limit 120 s): " + e, e);
        }
    }

    /**
     * Returns whether a GET request for a path is answered with status 200; false if the request
     * fails or takes longer than two minutes.
     */
    public boolean isOk(int port, String path) {
        try {
            return call("GET", port, path, "").status() == 200;
        } catch (IllegalStateException e) {
            return false;
        }
    }
}
