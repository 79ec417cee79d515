package org.cornelway.internal.platform;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.PlainCall;
import org.cornelway.platform.PlainResponse;
import org.cornelway.platform.PlainService;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;

/**
 * Calls a plain service over HTTP, each call on a connection of its own.
 *
 * <p>A failure before there is a connection is "not run"; any later one leaves the outcome unknown.
 * Thread-safe.
 */
public final class HttpPlainService implements PlainService {
    private static final int MAX_CONNECTIONS = 512;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    private final HttpEndpointClient mHttp;
    private final long mTimeoutMillis;

    /**
     * @param timeoutMillis time after which the outcome of a call counts as unknown
     */
    public HttpPlainService(Vertx vertx, HttpEndpoint endpoint, long timeoutMillis) {
        mHttp =
                new HttpEndpointClient(
                        vertx, endpoint, MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS, false);
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public Single<Result<PlainResponse>> call(PlainCall call) {
        return mHttp.openRequest(call.method(), call.path())
                .flatMap(request -> send(request, call))
                .onErrorReturn(HttpPlainService::failure);
    }

    private Single<Result<PlainResponse>> send(HttpClientRequest request, PlainCall call) {
        request.putHeader("X-Request-Id", call.requestId());
        if (!call.contentType().isEmpty()) {
            request.putHeader("Content-Type", call.contentType());
        }
        if (!call.idempotencyKey().isEmpty()) {
            request.putHeader("Idempotency-Key", call.idempotencyKey());
        }
        return mHttp.sendAndCollect(request, call.body())
                .timeout(mTimeoutMillis, TimeUnit.MILLISECONDS)
                .doOnError(e -> request.reset())
                .map(HttpPlainService::answer);
    }

    private static Result<PlainResponse> answer(HttpReply reply) {
        return Result.ok(new PlainResponse(reply.status(), reply.contentType(), reply.body()));
    }

    private static Result<PlainResponse> failure(Throwable e) {
        String message = String.valueOf(e.getMessage());
        return e instanceof NotSentException
                ? Result.failed(ResultCode.NO_REPLICA, message)
                : Result.failed(ResultCode.OUTCOME_UNKNOWN, message);
    }
}
