package org.cornelway.http;

/** Names of the HTTP headers that callers and operators send and receive. */
public final class HttpHeaders {
    /** Deadline in milliseconds since the epoch; overrides {@link #TIMEOUT}. */
    public static final String DEADLINE = "X-Deadline-Millis";

    /** Deadline in milliseconds after the arrival of the request. */
    public static final String TIMEOUT = "X-Timeout-Millis";

    /**
     * Idempotency key. If a team sends several calls with the same key to one service, at most one
     * of them runs. Calls that may be repeated are not deduplicated.
     */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Class of the request, {@code interactive} or {@code deferred}. */
    public static final String REQUEST_CLASS = "X-Request-Class";

    /** Carries a team's key or the operator's token as a bearer token. */
    public static final String AUTHORIZATION = "Authorization";

    /** Id of the request, sent with every response to a completion or a call to a plain service. */
    public static final String REQUEST_ID = "X-Request-Id";

    /**
     * Number of the result code, sent with every response to a completion or a call to a plain
     * service, unless the response is streamed and starts before the result is known.
     */
    public static final String RESULT_CODE = "X-Result-Code";

    private HttpHeaders() {}
}
