package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntUnaryOperator;
import java.util.stream.Stream;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.ReceivedCall;
import org.testng.annotations.Test;

/** Tests that all entries together keep a customer to its token quota. */
public class QuotaProcessTest extends DirectTestBase {
    private static final String KEY = "k-41aa-north";
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final double TOKENS_PER_SECOND = 3_000;
    private static final double BURST = 3_000;
    private static final int CALL_TOKENS = 100;
    private static final long WINDOW_MILLIS = 8_000;
    private static final double ALLOWED_CALLS =
            ((TOKENS_PER_SECOND * WINDOW_MILLIS / 1_000 + BURST) * 1.1 + DirectFleet.QUOTA_SLACK)
                    / CALL_TOKENS;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Time for the entries to know one another and to fill the bucket. */
    private static final long SETTLE_MILLIS = 6_500;

    @Override
    int entryCount() {
        return 4;
    }

    @Override
    void prepareFleet(DirectFleet fleet) {
        fleet.customers()
                .addObject()
                .put("Name", "north")
                .put("Unit", "generate")
                .put("RatePerS", TOKENS_PER_SECOND)
                .put("Burst", BURST)
                .put("PlainTokens", CALL_TOKENS)
                .putArray("ApiKeys")
                .add(KEY);
        fleet.configure();
    }

    private CompletableFuture<Response> send(int entry) {
        return fleet().http()
                .send(
                        "POST",
                        fleet().frontPort(entry),
                        "/unsafe/a",
                        "x",
                        new Header("Host", DirectFleet.HOST),
                        new Header("X-Request-Id", newRequestId()),
                        new Header("X-Deadline-Ms", "10000"),
                        new Header("Authorization", "Bearer " + KEY))
                .exceptionally(e -> new Response(0, 0, String.valueOf(e)));
    }

    /** Sends calls at an interval; returns when all have ended. */
    private List<Response> sendCalls(int count, long intervalMillis, IntUnaryOperator entry)
            throws InterruptedException {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            responses.add(send(entry.applyAsInt(i)));
            Thread.sleep(intervalMillis);
        }
        return responses.stream().map(CompletableFuture::join).toList();
    }

    private List<Double> arrivalsMillis() {
        return Stream.of("p1", "p2")
                .flatMap(id -> fleet().backendServer(id).receivedCalls().stream())
                .map(ReceivedCall::receivedNanos)
                .map(nanos -> nanos / NANOS_PER_MILLI)
                .sorted()
                .toList();
    }

    private static long mostInWindow(List<Double> arrivals) {
        return arrivals.stream()
                .mapToLong(
                        first ->
                                arrivals.stream()
                                        .filter(at -> at >= first && at < first + WINDOW_MILLIS)
                                        .count())
                .max()
                .orElse(0);
    }

    private void killAndRestart(int entry) {
        fleet().signal(entry, "KILL");
        fleet().entryProcess(entry).onExit().join();
        fleet().startEntry(entry);
    }

    @Test
    public void callsWithinTheQuotaPassAtAnyEntry() throws InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
        for (IntUnaryOperator entry : List.<IntUnaryOperator>of(i -> 1, i -> i % 4)) {
            List<Response> responses = sendCalls(150, 60, entry);
            long served = responses.stream().filter(each -> each.status() == OK).count();
            assertThat(served).isGreaterThanOrEqualTo(147);
        }
    }

    /** Guards against entries that each allow what all may use, and against entries that refuse. */
    @Test
    public void quotaHoldsWhileEntriesAreCutOffAndKilled() throws InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
        List<Response> responses = new ArrayList<>(sendCalls(500, 8, i -> i % 4));
        fleet().setClusterKey("the-secret-of-the-cut-off-entries");
        killAndRestart(2);
        killAndRestart(3);
        responses.addAll(sendCalls(500, 8, i -> i % 4));
        fleet().awaitReady(2);
        fleet().awaitReady(3);
        fleet().signal(0, "KILL");
        responses.addAll(sendCalls(1_000, 8, i -> 1 + i % 3));
        List<Double> arrivals = arrivalsMillis();
        assertThat(mostInWindow(arrivals)).isLessThanOrEqualTo((long) ALLOWED_CALLS);
        double seconds = (arrivals.get(arrivals.size() - 1) - arrivals.get(0)) / 1_000;
        assertThat((double) arrivals.size())
                .isGreaterThan(0.4 * seconds * TOKENS_PER_SECOND / CALL_TOKENS);
        assertThat(responses)
                .filteredOn(each -> each.status() != 0 && each.status() != OK)
                .extracting(Response::status)
                .contains(TOO_MANY_REQUESTS)
                // An entry that has just started knows no configuration yet.
                .isSubsetOf(TOO_MANY_REQUESTS, UNAVAILABLE);
    }
}
