package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.standin.platform.PlannedAnswer;
import org.cornelway.standin.platform.PlannedAnswer.Repetition;
import org.cornelway.standin.platform.ReceivedCall;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Seeded runs of calls to servers that fail some calls and answer some twice: at once or late, in
 * whole or in part, with the same or another status, with or without a length.
 */
public class StutteringServersProcessTest extends DirectTestBase {
    private static final String SUCCESS = "200 OK";
    private static final String FAILURE = "500 Internal Server Error";
    private static final int CALLERS = 6;
    private static final int CALLS_PER_CALLER = 60;
    private static final double FAILURE_SHARE = 0.3;
    private static final double REPETITION_SHARE = 0.5;

    /** Longest part of a repetition; a whole one is shorter. */
    private static final int MAX_REPETITION_BYTES = 260;

    private static final long[] DELAYS_MILLIS = {0, 0, 1, 2, 5, 20, 100, 1_000, 5_000};

    /** Statuses, as planned, of all answers to each call, by its id. */
    private final Map<String, List<Integer>> mAnswers = new ConcurrentHashMap<>();

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** Guards against answers that are not their call's, or that get another answer's status. */
    @Test(dataProvider = "seeds")
    public void callersGetOnlyWhatServersHaveAnsweredToTheirCalls(long seed) {
        mAnswers.clear();
        for (String server : List.of("p1", "p2")) {
            Random random = new Random(seed + server.hashCode());
            fleet().backendServer(server).planAnswers(call -> plan(call, random));
        }
        Map<String, Response> responses = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String caller = "c" + i;
            String path = i % 2 == 0 ? "/unsafe/a" : "/safe/a";
            callers.add(CompletableFuture.runAsync(() -> callInTurn(caller, path, responses)));
        }
        callers.forEach(CompletableFuture::join);
        check(responses);
    }

    private synchronized PlannedAnswer plan(ReceivedCall call, Random random) {
        boolean fails = random.nextDouble() < FAILURE_SHARE;
        Optional<Repetition> repetition =
                random.nextDouble() < REPETITION_SHARE
                        ? Optional.of(
                                new Repetition(
                                        DELAYS_MILLIS[random.nextInt(DELAYS_MILLIS.length)],
                                        random.nextBoolean() ? SUCCESS : FAILURE,
                                        random.nextInt(4) > 0,
                                        1 + random.nextInt(MAX_REPETITION_BYTES)))
                        : Optional.empty();
        mAnswers.computeIfAbsent(call.header("x-request-id"), id -> new ArrayList<>())
                .add(fails ? 500 : OK);
        return new PlannedAnswer(0, fails ? FAILURE : SUCCESS, repetition);
    }

    private void callInTurn(String caller, String path, Map<String, Response> responses) {
        for (int i = 0; i < CALLS_PER_CALLER; i++) {
            String id = caller + "-" + i;
            Header[] headers = headers(id, "");
            responses.put(id, fleet().http().call("POST", fleet().frontPort(0), path, id, headers));
        }
    }

    private void check(Map<String, Response> responses) {
        Map<String, String> wrong = new HashMap<>();
        int successes = 0;
        for (Map.Entry<String, Response> entry : responses.entrySet()) {
            Response response = entry.getValue();
            List<Integer> answers = mAnswers.getOrDefault(entry.getKey(), List.of());
            boolean isServers = response.body().startsWith("done ");
            boolean isRight =
                    isServers
                            ? answers.contains(response.status())
                                    && response.body().equals("done " + entry.getKey())
                            : response.status() > 500;
            if (!isRight) {
                wrong.put(entry.getKey(), response + " for " + answers);
            }
            successes += response.status() == OK ? 1 : 0;
        }
        assertThat(wrong).isEmpty();
        assertThat(responses).hasSize(CALLERS * CALLS_PER_CALLER);
        assertThat(successes).isGreaterThan(responses.size() / 2);
    }
}
