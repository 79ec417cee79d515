package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttp.Reply;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.result.ResultCode;
import org.testng.annotations.Test;

/** Calls that may not be repeated, while agents and the key-value service fail. */
public final class AtMostOnceProcessTest extends ProcessTestBase {
    private static final int FIRST_PLAIN = 3;
    private static final int SECOND_PLAIN = 4;

    private void slowService(long millis) {
        for (int i = FIRST_PLAIN; i <= SECOND_PLAIN; i++) {
            fleet().http()
                    .call(
                            "POST",
                            fleet().backendServerPort(i),
                            "/behaviour",
                            "{\"delayMillis\":" + millis + "}");
        }
    }

    private CompletableFuture<Reply> send(int entry, String key) {
        return fleet().http()
                .send(
                        "POST",
                        fleet().entryPort(entry),
                        bookingPath(),
                        "\"" + key + "\"",
                        key(key),
                        timeout(8_000));
    }

    @Test
    public void killedAgentNeverDoublesBooking() {
        slowService(1_500);
        CompletableFuture<Reply> first = send(0, "k1");
        ProcessFleet.await("the booking to run", () -> runs("k1") == 1);
        fleet().kill(ProcessFleet.agentId(FIRST_PLAIN));
        fleet().kill(ProcessFleet.agentId(SECOND_PLAIN));
        fleet().startAgent(FIRST_PLAIN);
        fleet().startAgent(SECOND_PLAIN);
        assertThat(first.join().resultCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        Reply again = book(1, "k1");
        assertThat(again.resultCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(runs("k1")).isEqualTo(1);
        assertThat(book(0, "k2").status()).isEqualTo(OK);
    }

    @Test
    public void killedAgentNeverDoublesUnkeyedBooking() {
        slowService(1_500);
        CompletableFuture<Reply> call =
                fleet().http()
                        .send(
                                "POST",
                                fleet().entryPort(0),
                                bookingPath(),
                                "\"k1\"",
                                timeout(8_000));
        ProcessFleet.await("the booking to run", () -> runs("k1") == 1);
        fleet().kill(ProcessFleet.agentId(FIRST_PLAIN));
        fleet().kill(ProcessFleet.agentId(SECOND_PLAIN));
        fleet().startAgent(FIRST_PLAIN);
        fleet().startAgent(SECOND_PLAIN);
        assertThat(call.join().resultCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN.number());
        assertThat(book(0, "k2").status()).isEqualTo(OK);
        assertThat(runs("k1")).isEqualTo(1);
    }

    @Test
    public void frozenAgentNeverDoublesBooking() {
        slowService(500);
        CompletableFuture<Reply> first = send(0, "k1");
        ProcessFleet.await("the booking to run", () -> runs("k1") == 1);
        fleet().freeze(ProcessFleet.agentId(FIRST_PLAIN));
        fleet().freeze(ProcessFleet.agentId(SECOND_PLAIN));
        CompletableFuture<Reply> second = send(1, "k1");
        CompletableFuture<Reply> other = send(1, "k2");
        first.join();
        second.join();
        other.join();
        fleet().thaw(ProcessFleet.agentId(FIRST_PLAIN));
        fleet().thaw(ProcessFleet.agentId(SECOND_PLAIN));
        ProcessFleet.await("bookings", () -> book(0, "k3").status() == OK);
        book(0, "k1");
        book(1, "k2");
        assertThat(runs("k1")).isEqualTo(1);
        assertThat(runs("k2")).isLessThanOrEqualTo(1);
    }

    @Test
    public void outageRefusesBookingTruthfully() {
        assertThat(book(0, "before").status()).isEqualTo(OK);
        fault(fleet().keyValuePort(), "{\"outage\":true}");
        Reply refused = book(0, "k1");
        assertThat(refused.status()).isEqualTo(ResultCode.NOT_DURABLE.httpStatus());
        assertThat(json(refused.body()).path("error").path("notRun").asBoolean()).isTrue();
        assertThat(runs("k1")).isZero();
        assertWhole(complete(0, "model-2", 8), 8);
        fault(fleet().keyValuePort(), "{}");
        ProcessFleet.await("a booking", () -> book(0, "k1").status() == OK);
        assertThat(runs("k1")).isEqualTo(1);
        assertThat(book(1, "before").body()).contains("\"runs\":1");
        assertThat(runs("before")).isEqualTo(1);
    }

    @Test
    public void lostAnswersOfTheStoreNeverDoubleBooking() {
        fault(fleet().keyValuePort(), "{\"answersLost\":true}");
        CompletableFuture<Reply> first = send(0, "k1");
        CompletableFuture<Reply> second = send(1, "k1");
        first.join();
        second.join();
        fault(fleet().keyValuePort(), "{}");
        ProcessFleet.await("a booking", () -> book(0, "k1").status() == OK);
        assertThat(book(1, "k1").status()).isEqualTo(OK);
        assertThat(runs("k1")).isEqualTo(1);
    }

    @Test
    public void sameKeyForAnotherCallIsRefused() {
        assertThat(book(0, "k1").status()).isEqualTo(OK);
        Reply reply =
                fleet().http()
                        .call(
                                "POST",
                                fleet().entryPort(1),
                                bookingPath(),
                                "\"another\"",
                                key("k1"));
        assertThat(reply.resultCode()).isEqualTo(ResultCode.KEY_REUSED.number());
        assertThat(runs("another")).isZero();
    }
}
