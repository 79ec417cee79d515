package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all entries together keep to the rate of calls that a server says it takes. */
public class ServerLimitProcessTest extends ServerLimitTestBase {
    private static final List<String> PLAIN = List.of("p1", "p2");

    @DataProvider
    public Object[][] limited() {
        return new Object[][] {
            {"/safe/a", "", List.of("p1"), 1.0},
            {"/safe/a", "", PLAIN, 0.0},
            {"/resume/a", "m1", List.of("e1"), 0.9},
            {"/resume/a", "m1", List.of("e1", "e2"), 0.0},
        };
    }

    @Test(dataProvider = "limited")
    public void serversGetNoMoreThanTheirLimitFromAllEntriesTogether(
            String path, String model, List<String> limited, double servedShare)
            throws InterruptedException {
        nameLimit(limited);
        long start = System.nanoTime();
        List<Response> responses = sendCalls(path, model);
        assertLimitKept(limited, start);
        assertThat(responses).extracting(Response::status).isSubsetOf(OK, UNAVAILABLE);
        assertThat(servedCount(responses)).isGreaterThanOrEqualTo((long) (servedShare * CALLS));
    }

    /** Guards against servers that get nothing any more because they have named a limit. */
    @Test
    public void scarceRateIsUsed() throws InterruptedException {
        nameLimit(PLAIN);
        long start = System.nanoTime();
        sendCalls("/safe/a", "");
        assertRateUsed(start);
    }

    /** Asserts that each plain server got at least half of its rate. */
    private void assertRateUsed(long sinceNanos) {
        double seconds = (CALLS * CALL_INTERVAL_MILLIS - SETTLE_MILLIS) / 1_000.0;
        for (String id : PLAIN) {
            assertThat((double) arrivals(id, sinceNanos).size())
                    .as(id)
                    .isGreaterThanOrEqualTo(0.5 * LIMIT * seconds);
        }
    }

    @Test
    public void scarceRateIsUsedByTheOnlyEntryThatHasCalls() throws InterruptedException {
        nameLimit(PLAIN);
        long start = System.nanoTime();
        sendCalls("/safe/a", "", i -> 3, () -> {});
        assertLimitKept(PLAIN, start);
        assertRateUsed(start);
    }

    @Test
    public void limitHoldsWhileAnswersAreSlow() throws InterruptedException {
        PLAIN.forEach(id -> fleet().backendServer(id).delayResponses(700));
        nameLimit(PLAIN);
        long start = System.nanoTime();
        sendCalls("/safe/a", "");
        assertLimitKept(PLAIN, start);
    }

    @Test
    public void serverThatNamesNoLimitAnyMoreGetsCallsAgain() throws InterruptedException {
        nameLimit(PLAIN);
        sendCalls("/safe/a", "");
        endLimit(PLAIN);
        // Each entry hears of it when a call has been sent at the old rate.
        sendCalls("/safe/a", "");
        assertThat(sendCalls("/safe/a", "")).extracting(Response::status).containsOnly(OK);
    }

    /**
     * Guards against a limited server that is not asked again while another one takes all calls.
     */
    @Test
    public void serverWhoseLimitEndsBesideAnIdleOneGetsCallsAgain() throws InterruptedException {
        nameLimit(List.of("p1"));
        sendCalls("/safe/a", "");
        endLimit(List.of("p1"));
        long start = System.nanoTime();
        sendCalls("/safe/a", "");
        assertThat(arrivals("p1", start)).hasSizeGreaterThan(CALLS / 4);
    }

    /** Guards against a model that stays where calls to it are limited. */
    @Test
    public void modelWhoseEnginesAreLimitedIsLoadedElsewhere() throws InterruptedException {
        nameLimit(List.of("e1", "e2"));
        fleet().addServer(DirectFleet.ENGINE_SERVICE, "e3");
        long start = System.nanoTime();
        List<Response> responses = sendCalls("/resume/a", "m1");
        assertLimitKept(List.of("e1", "e2"), start);
        assertThat(servedCount(responses)).isGreaterThanOrEqualTo((long) (0.9 * CALLS));
    }
}
