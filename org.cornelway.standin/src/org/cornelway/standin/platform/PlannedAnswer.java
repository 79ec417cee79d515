package org.cornelway.standin.platform;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.Optional;

/**
 * How a {@link BackendServerStandin} answers one call to a plain service. Immutable.
 *
 * @param delayMillis time from the call to its answer
 * @param status status code and reason of the answer
 * @param repetition a second answer that the server sends for the same call, as a faulty server may
 */
public record PlannedAnswer(long delayMillis, String status, Optional<Repetition> repetition) {
    private static final PlannedAnswer SUCCESS = new PlannedAnswer(0, "200 OK", Optional.empty());

    /**
     * A second answer to a call. Immutable.
     *
     * @param delayMillis time from the answer to its repetition; 0 if both are written at once
     * @param status status code and reason of the repetition
     * @param hasLength whether the head states the length of the body
     * @param sentBytes number of bytes of the repetition that are sent; the rest never comes
     */
    public record Repetition(long delayMillis, String status, boolean hasLength, int sentBytes) {}

    /** The answer of a server that works normally. */
    public static PlannedAnswer success() {
        return SUCCESS;
    }

    /**
     * Writes the answer, and its repetition when it is due.
     *
     * @param headers header lines in addition to those of the framing
     */
    void write(Vertx vertx, NetSocket socket, String headers, String body) {
        String answer = format(status, headers, body);
        String glued =
                repetition
                        .filter(each -> each.delayMillis() == 0)
                        .map(each -> repeated(each, headers, body))
                        .orElse("");
        later(vertx, delayMillis, () -> socket.write(answer + glued));
        repetition
                .filter(each -> each.delayMillis() > 0)
                .ifPresent(
                        each ->
                                later(
                                        vertx,
                                        delayMillis + each.delayMillis(),
                                        () -> socket.write(repeated(each, headers, body))));
    }

    private static String repeated(Repetition repetition, String headers, String body) {
        String whole =
                repetition.hasLength()
                        ? format(repetition.status(), headers, body)
                        : "HTTP/1.1 " + repetition.status() + "\r\n" + headers + "\r\n" + body;
        return whole.substring(0, Math.min(whole.length(), repetition.sentBytes()));
    }

    private static void later(Vertx vertx, long delayMillis, Runnable action) {
        if (delayMillis == 0) {
            action.run();
        } else {
            vertx.setTimer(delayMillis, timer -> action.run());
        }
    }

    /** Returns an HTTP response with a body of a stated length. */
    public static String format(String status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
