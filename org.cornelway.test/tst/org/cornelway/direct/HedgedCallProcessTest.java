package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.standin.platform.PlannedAnswer;
import org.testng.annotations.Test;

/** Tests calls that are sent to a second server, or not, because the first one seems silent. */
public class HedgedCallProcessTest extends RunningStreamTestBase {
    /** Longer than a safe call waits before it is sent to a second server as well. */
    private static final long LATE_RESPONSE_MILLIS = 600;

    /** Longer than a stream may be silent before it is sent to a second server as well. */
    private static final long FREEZE_MILLIS = 1_500;

    /** Guards against the error of a second server in place of an answer that is only late. */
    @Test
    public void errorOfSecondServerDoesNotReplaceLateAnswerOfTheFirst() {
        PlannedAnswer late = new PlannedAnswer(LATE_RESPONSE_MILLIS, "200 OK", Optional.empty());
        PlannedAnswer error = new PlannedAnswer(0, "500 Internal Error", Optional.empty());
        AtomicInteger arrivals = new AtomicInteger();
        for (String id : List.of("p1", "p2")) {
            fleet().backendServer(id)
                    .planAnswers(call -> arrivals.getAndIncrement() == 0 ? late : error);
        }
        assertThat(call("/safe/a", "b").status()).isEqualTo(OK);
        assertThat(arrivals).hasValue(2);
    }

    /** Guards against streams that are sent again since the entry itself did not read them. */
    @Test
    public void streamsAreNotSentAgainAfterTheEntryWasFrozen() throws Exception {
        List<CompletableFuture<Response>> streams = startStreams();
        fleet().signal(0, "STOP");
        Thread.sleep(FREEZE_MILLIS);
        fleet().signal(0, "CONT");
        assertWhole(streams);
        assertThat(executedStreams()).isEqualTo(STREAMS);
    }
}
