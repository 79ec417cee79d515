package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.PlannedAnswer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls to servers that answer a call twice and send the second answer only in part. */
public class RepeatedAnswerProcessTest extends DirectTestBase {
    private static final String SUCCESS = "200 OK";
    private static final String FAILURE = "500 Internal Server Error";
    private static final String FIRST_CALL = "first";
    private static final String SECOND_CALL = "second";

    private static final int FAILURE_STATUS = 500;

    /** Delay of a copy that comes while a later send of its call waits for an answer. */
    private static final long COPY_DELAY_MILLIS = 200;

    private static final long LAST_ANSWER_MILLIS = 500;

    /** Longer than the head of an answer of the stand-in. */
    private static final int MAX_HEAD_BYTES = 150;

    /** Delay that ends after the entry has put the connection back into its pool. */
    private static final long AFTER_ANSWER_MILLIS = 3;

    /** Time in which a part of an answer arrives at the entry. */
    private static final long ARRIVAL_MILLIS = 8;

    @Override
    void prepareFleet(DirectFleet fleet) {
        fleet.announce(DirectFleet.PLAIN_SERVICE, "p2", "draining", 2);
        fleet.configure(
                routes ->
                        DirectFleet.addRoute(
                                routes, "/thrice/", "safe", DirectFleet.PLAIN_SERVICE, 3));
    }

    @DataProvider
    public Object[][] repetitions() {
        return new Object[][] {
            {"/unsafe/a", 0L}, {"/unsafe/a", AFTER_ANSWER_MILLIS}, {"/safe/a", AFTER_ANSWER_MILLIS}
        };
    }

    /** Guards against a failure that gets the status of an earlier answer's incomplete copy. */
    @Test(dataProvider = "repetitions")
    public void failureAfterAnIncompleteCopyOfAnAnswerIsNotPassedOnAsSuccess(
            String path, long delayMillis) throws InterruptedException {
        for (int length = 1; length <= MAX_HEAD_BYTES; length++) {
            repeatFirstAnswer(length, delayMillis);
            assertThat(call(path, FIRST_CALL).body()).isEqualTo("done " + FIRST_CALL);
            Thread.sleep(delayMillis == 0 ? 0 : ARRIVAL_MILLIS);
            Response response = call(path, SECOND_CALL);
            assertThat(response.status() / 100)
                    .as("after %d bytes of a copy: %s", length, response)
                    .isEqualTo(5);
        }
    }

    /**
     * Plans the answers to the first call, of which a part is sent once more, and to the second.
     */
    private void repeatFirstAnswer(int length, long delayMillis) {
        PlannedAnswer repeated =
                new PlannedAnswer(
                        0,
                        SUCCESS,
                        Optional.of(
                                new PlannedAnswer.Repetition(delayMillis, SUCCESS, true, length)));
        PlannedAnswer failure = new PlannedAnswer(0, FAILURE, Optional.empty());
        fleet().backendServer("p1")
                .planAnswers(call -> call.body().equals(FIRST_CALL) ? repeated : failure);
    }

    /** Guards against a copy of an answer that is taken for the answer to a repeated send. */
    @Test
    public void copyOfTheFirstAnswerIsNotTakenForTheAnswerToLaterSend() {
        PlannedAnswer first =
                new PlannedAnswer(
                        0,
                        FAILURE,
                        Optional.of(
                                new PlannedAnswer.Repetition(
                                        COPY_DELAY_MILLIS, SUCCESS, true, Integer.MAX_VALUE)));
        PlannedAnswer second = new PlannedAnswer(0, FAILURE, Optional.empty());
        PlannedAnswer third = new PlannedAnswer(LAST_ANSWER_MILLIS, FAILURE, Optional.empty());
        List<PlannedAnswer> answers = List.of(first, second, third);
        AtomicInteger sends = new AtomicInteger();
        fleet().backendServer("p1").planAnswers(call -> answers.get(sends.getAndIncrement()));
        Response response = call("/thrice/a", FIRST_CALL);
        assertThat(sends).hasValue(answers.size());
        assertThat(response.status()).as(response.toString()).isEqualTo(FAILURE_STATUS);
    }
}
