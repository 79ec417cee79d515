package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests that bookings, which must not be repeated, are executed at most once despite failures of
 * agents and of the key-value service.
 */
public final class AtMostOnceProcessTest extends ProcessTestBase {
    /**
     * Index of the agent and of the backend server of the first plain service instance. The indexes
     * below it are those of the 3 engines.
     */
    private static final int FIRST_PLAIN_INSTANCE = 3;

    private static final int SECOND_PLAIN_INSTANCE = 4;

    private void setServiceDelay(long millis) {
        for (int i = FIRST_PLAIN_INSTANCE; i <= SECOND_PLAIN_INSTANCE; i++) {
            fleet().http()
                    .call(
                            "POST",
                            fleet().backendServerPort(i),
                            "/behaviour",
                            "{\"delayMillis\":" + millis + "}");
        }
    }

    private CompletableFuture<Response> sendBooking(int entry, String key) {
        return fleet().http()
                .send(
                        "POST",
                        fleet().entryHttpPort(entry),
                        bookingPath(),
                        "\"" + key + "\"",
                        keyHeader(key),
                        timeoutHeader(8_000));
    }

    @Test
    public void killedAgentDoesNotDuplicateBooking() {
        setServiceDelay(1_500);
        CompletableFuture<Response> first = sendBooking(0, "k1");
        ProcessFleet.await("the booking to be executed", () -> executionCount("k1") == 1);
        fleet().kill(ProcessFleet.agentId(FIRST_PLAIN_INSTANCE));
        fleet().kill(ProcessFleet.agentId(SECOND_PLAIN_INSTANCE));
        fleet().startAgent(FIRST_PLAIN_INSTANCE);
        fleet().startAgent(SECOND_PLAIN_INSTANCE);
        assertThat(first.join().resultCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        Response again = book(1, "k1");
        assertThat(again.resultCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(executionCount("k1")).isEqualTo(1);
        assertThat(book(0, "k2").status()).isEqualTo(OK);
    }

    @Test
    public void killedAgentDoesNotDuplicateBookingWithoutKey() {
        setServiceDelay(1_500);
        CompletableFuture<Response> call =
                fleet().http()
                        .send(
                                "POST",
                                fleet().entryHttpPort(0),
                                bookingPath(),
                                "\"k1\"",
                                timeoutHeader(8_000));
        ProcessFleet.await("the booking to be executed", () -> executionCount("k1") == 1);
        fleet().kill(ProcessFleet.agentId(FIRST_PLAIN_INSTANCE));
        fleet().kill(ProcessFleet.agentId(SECOND_PLAIN_INSTANCE));
        fleet().startAgent(FIRST_PLAIN_INSTANCE);
        fleet().startAgent(SECOND_PLAIN_INSTANCE);
        assertThat(call.join().resultCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(book(0, "k2").status()).isEqualTo(OK);
        assertThat(executionCount("k1")).isEqualTo(1);
    }

    @Test
    public void frozenAgentDoesNotDuplicateBooking() {
        setServiceDelay(500);
        CompletableFuture<Response> first = sendBooking(0, "k1");
        ProcessFleet.await("the booking to be executed", () -> executionCount("k1") == 1);
        fleet().freeze(ProcessFleet.agentId(FIRST_PLAIN_INSTANCE));
        fleet().freeze(ProcessFleet.agentId(SECOND_PLAIN_INSTANCE));
        CompletableFuture<Response> second = sendBooking(1, "k1");
        CompletableFuture<Response> other = sendBooking(1, "k2");
        first.join();
        second.join();
        other.join();
        fleet().resume(ProcessFleet.agentId(FIRST_PLAIN_INSTANCE));
        fleet().resume(ProcessFleet.agentId(SECOND_PLAIN_INSTANCE));
        ProcessFleet.await("bookings", () -> book(0, "k3").status() == OK);
        book(0, "k1");
        book(1, "k2");
        assertThat(executionCount("k1")).isEqualTo(1);
        assertThat(executionCount("k2")).isLessThanOrEqualTo(1);
    }

    @Test
    public void bookingIsRejectedAsNotRunDuringStoreOutage() {
        assertThat(book(0, "before").status()).isEqualTo(OK);
        injectFault(fleet().keyValueServicePort(), "{\"outage\":true}");
        Response rejected = book(0, "k1");
        assertThat(rejected.status()).isEqualTo(ResultCode.NOT_DURABLE.httpStatus());
        assertThat(json(rejected.body()).path("error").path("notRun").asBoolean()).isTrue();
        assertThat(executionCount("k1")).isZero();
        assertCompleteResponse(requestCompletion(0, "model-2", 8), 8);
        injectFault(fleet().keyValueServicePort(), "{}");
        ProcessFleet.await("a booking to succeed", () -> book(0, "k1").status() == OK);
        assertThat(executionCount("k1")).isEqualTo(1);
        assertThat(book(1, "before").body()).contains("\"runs\":1");
        assertThat(executionCount("before")).isEqualTo(1);
    }

    @Test
    public void lostStoreResponsesDoNotDuplicateBooking() {
        injectFault(fleet().keyValueServicePort(), "{\"answersLost\":true}");
        CompletableFuture<Response> first = sendBooking(0, "k1");
        CompletableFuture<Response> second = sendBooking(1, "k1");
        first.join();
        second.join();
        injectFault(fleet().keyValueServicePort(), "{}");
        ProcessFleet.await("a booking to succeed", () -> book(0, "k1").status() == OK);
        assertThat(book(1, "k1").status()).isEqualTo(OK);
        assertThat(executionCount("k1")).isEqualTo(1);
    }

    @Test
    public void keyReusedForDifferentCallIsRejected() {
        assertThat(book(0, "k1").status()).isEqualTo(OK);
        Response response =
                fleet().http()
                        .call(
                                "POST",
                                fleet().entryHttpPort(1),
                                bookingPath(),
                                "\"another\"",
                                keyHeader("k1"));
        assertThat(response.resultCode()).isEqualTo(ResultCode.KEY_REUSED.number());
        assertThat(executionCount("another")).isZero();
    }
}
