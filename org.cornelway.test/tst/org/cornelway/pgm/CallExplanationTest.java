package org.cornelway.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests that {@link CallExplanation} finds the cause of a call's outcome in the logs of entries.
 */
public class CallExplanationTest {
    private static final String SENT =
            "a ts=1000 level=INFO event=call.sent id=x1 send=1 server=s1 reported=4";
    private static final String REFUSED =
            "a ts=1010 level=INFO event=call.send_ended id=x1 server=s1 outcome=not_run"
                    + " reason=\"refused with 421\"";
    private static final String ORDER =
            "b ts=990 level=INFO event=engine.order server=s1 load=false model=m1 reply=Accepted[]";
    private static final String UNRELATED_ORDER =
            "b ts=995 level=INFO event=engine.order server=s2 load=true model=m2 reply=Accepted[]";
    private static final String FAILED =
            "a ts=1500 level=INFO event=call.failed id=x1 model=m1/a2 how=own status=503 sends=1"
                    + " ms=510 reason=\"DEADLINE_INFEASIBLE: the model needs 900 ms\"";

    @Test
    public void relatedLinesOfAllProcessesAreSortedByTime() {
        CallExplanation explanation =
                CallExplanation.of(
                        "x1", List.of(FAILED, REFUSED, "noise", SENT, UNRELATED_ORDER, ORDER));
        assertThat(explanation.lines()).containsExactly(ORDER, SENT, REFUSED, FAILED);
        assertThat(explanation.cause()).contains("m1/a2").contains("could not be loaded in time");
    }

    @Test
    public void stallOfTrafficThreadIsShown() {
        String stalled = "a ts=1200 level=INFO event=traffic.stalled sweeps=12";
        assertThat(CallExplanation.of("x1", List.of(stalled, SENT, FAILED)).lines())
                .containsExactly(SENT, stalled, FAILED);
    }

    @Test
    public void unknownCallHasNoLines() {
        CallExplanation explanation = CallExplanation.of("x2", List.of(SENT, FAILED));
        assertThat(explanation.lines()).isEmpty();
        assertThat(explanation.cause()).contains("no log line shows how the call ended");
    }

    @Test
    public void callerDisconnectIsDistinguishedFromServerFailure() {
        String disconnected =
                "a ts=1500 event=call.failed id=x1 model=m1 how=left status=0 ms=510 reason=left";
        assertThat(CallExplanation.of("x1", List.of(disconnected)).cause())
                .contains("waited for model m1");
        assertThat(CallExplanation.of("x1", List.of(SENT, disconnected)).cause())
                .contains("s1 was running the call");
        String outcomeUnknown =
                "a ts=1500 event=call.failed id=x1 model=- how=own status=502 ms=510"
                        + " reason=\"OUTCOME_UNKNOWN: Connection reset\"";
        assertThat(CallExplanation.of("x1", List.of(SENT, outcomeUnknown)).cause())
                .contains("s1 may have run the call");
    }

    /** Guards against a fault of the process that is explained as the caller's disconnect. */
    @Test
    public void faultOfProcessIsDistinguishedFromServerFailure() {
        String fault =
                "a ts=1500 event=call.failed id=x1 model=m1 how=cut status=0 sends=1 ms=510"
                        + " reason=\"unexpected error: java.lang.IllegalStateException\"";
        assertThat(CallExplanation.of("x1", List.of(SENT, fault)).cause())
                .contains("a fault of this process")
                .contains("IllegalStateException");
        String cut =
                "a ts=1500 event=call.failed id=x1 model=m1 how=cut status=0 sends=1 ms=510"
                        + " reason=\"closed within the answer\"";
        assertThat(CallExplanation.of("x1", List.of(SENT, cut)).cause())
                .contains("ended the stream after 1 sends; last server: s1");
    }
}
