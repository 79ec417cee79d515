package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntUnaryOperator;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.standin.platform.ReceivedCall;

/** Base class of the tests of limits that servers name; four entries send calls in turn. */
abstract class ServerLimitTestBase extends DirectTestBase {
    static final int UNAVAILABLE = 503;

    /** Limit that the servers name, in calls per second. */
    static final double LIMIT = 1.2;

    /** Time from the first answer with a limit until the limit holds. */
    static final long SETTLE_MILLIS = 3_500;

    /** Time between two calls, over all entries. */
    static final long CALL_INTERVAL_MILLIS = 40;

    static final int CALLS = 300;

    private static final long WINDOW_MILLIS = 4_000;

    /** Calls that the servers tolerate in a window beyond one and a half times the limit. */
    private static final int SLACK = 5;

    private static final double ALLOWED = 1.5 * LIMIT * WINDOW_MILLIS / 1_000 + SLACK;

    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    int entryCount() {
        return 4;
    }

    /** Makes servers name a limit in their responses to calls. */
    final void nameLimit(List<String> servers) {
        servers.forEach(
                id -> fleet().backendServer(id).addToResponses("Server-Limit: " + LIMIT + "\r\n"));
    }

    /** Makes servers name no limit any more. */
    final void endLimit(List<String> servers) {
        servers.forEach(id -> fleet().backendServer(id).addToResponses(""));
    }

    /** Sends calls through all entries in turn; returns when all have ended. */
    final List<Response> sendCalls(String path, String model) throws InterruptedException {
        return sendCalls(path, model, i -> i % entryCount(), () -> {});
    }

    /**
     * Sends calls; returns when all have ended.
     *
     * @param entry entry that a call goes to, by the number of the call
     * @param midway runs once, before the call in the middle
     */
    final List<Response> sendCalls(
            String path, String model, IntUnaryOperator entry, Runnable midway)
            throws InterruptedException {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            if (i == CALLS / 2) {
                midway.run();
            }
            int port = fleet().frontPort(entry.applyAsInt(i));
            responses.add(
                    fleet().http().send("POST", port, path, "x", headers(newRequestId(), model)));
            Thread.sleep(CALL_INTERVAL_MILLIS);
        }
        return responses.stream()
                .map(each -> each.exceptionally(e -> new Response(0, 0, String.valueOf(e))))
                .map(CompletableFuture::join)
                .toList();
    }

    /** Returns when calls reached a server while its limit held, in ms after a moment. */
    final List<Double> arrivals(String server, long sinceNanos) {
        return fleet().backendServer(server).receivedCalls().stream()
                .map(ReceivedCall::receivedNanos)
                .map(nanos -> (nanos - sinceNanos) / NANOS_PER_MILLI)
                .filter(millis -> millis >= SETTLE_MILLIS)
                .toList();
    }

    private static long mostInWindow(List<Double> arrivals) {
        return arrivals.stream()
                .mapToLong(
                        first ->
                                arrivals.stream()
                                        .filter(each -> each >= first)
                                        .filter(each -> each < first + WINDOW_MILLIS)
                                        .count())
                .max()
                .orElse(0);
    }

    /** Asserts that servers got no more than their limit in any window. */
    final void assertLimitKept(List<String> servers, long sinceNanos) {
        for (String id : servers) {
            assertThat(mostInWindow(arrivals(id, sinceNanos)))
                    .as(id)
                    .isLessThanOrEqualTo((long) ALLOWED);
        }
    }

    static long servedCount(List<Response> responses) {
        return responses.stream().filter(each -> each.status() == OK).count();
    }
}
