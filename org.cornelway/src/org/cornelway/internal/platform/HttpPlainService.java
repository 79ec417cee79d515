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
 * Plain service that is called over HTTP, with a new connection for each call.
 *
 * <p>If no connection can be made, the call did not run; after any later failure its outcome is
 * unknown. Thread-safe.
 */
public final class HttpPlainService implements PlainService {
    private static final int MAX_CONNECTIONS = 512;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    private final HttpEndpointClient mHttp;
    private final long mTimeoutMillis;

    /**
     * @param timeoutMillis time limit for a response, which starts when the call is sent; after it,
     *     the outcome of the call counts as unknown
     */
    public HttpPlainService(Vertx vertx, HttpEndpoint endpoint, long timeoutMillis) {
        mHttp = new HttpEndpointClient(vertx, endpoint, MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public Single<Result<PlainResponse>> call(PlainCall call) {
        return mHttp.openRequest(call.method(), call.path())
                .flatMap(request -> send(request, call))
                .onErrorReturn(HttpPlainService::toFailure);
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
                .map(HttpPlainService::toResponse);
    }

    private static Result<PlainResponse> toResponse(HttpReply reply) {
        return Result.ok(new PlainResponse(reply.status(), reply.contentType(), reply.body()));
    }

    private static Result<PlainResponse> toFailure(Throwable e) {
        String message = String.valueOf(e.getMessage());
        return e instanceof NotSentException
                ? Result.failed(ResultCode.NO_REPLICA, message)
                : Result.failed(ResultCode.OUTCOME_UNKNOWN, message);
    }
}
