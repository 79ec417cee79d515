package org.cornelway.http;

/** Names of the headers that callers may send. */
public final class HttpHeaders {
    /** Deadline in milliseconds since the epoch. */
    public static final String DEADLINE = "X-Deadline-Millis";

    /** Deadline as milliseconds from the arrival of the request. */
    public static final String TIMEOUT = "X-Timeout-Millis";

    /** Key under which a call runs at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** {@code interactive} or {@code deferred}. */
    public static final String REQUEST_CLASS = "X-Request-Class";

    /** Carries a team's key or the operator's token as a bearer token. */
    public static final String AUTHORIZATION = "Authorization";

    /** Id of the request, in every answer. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Number of the result code, in every answer that is known when it starts. */
    public static final String RESULT_CODE = "X-Result-Code";

    private HttpHeaders() {}
}
