package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;
import org.testng.annotations.Test;

/** Tests how requests for the same model are merged. */
public class PendingRequestsTest {
    private final List<String> mAnswered = new ArrayList<>();

    private void add(PendingRequests pending, CallGroup calls, long deadlineMillis) {
        ModelTarget target = new ModelTarget("m", "");
        Deadline deadline = new Deadline(deadlineMillis);
        pending.add(
                new ModelRequest("s", target, deadline, 1, 0, 1, Optional.empty(), calls),
                outcome -> mAnswered.add(calls.from()));
    }

    private static CallGroup calls(String from, int count, long objectiveMillis) {
        return new CallGroup(from, count, objectiveMillis, new Deadline(objectiveMillis));
    }

    private static CallGroup merged(PendingRequests pending) {
        return pending.byModel().get("m").calls();
    }

    /** Guards against a batch that seems larger with each repeated request. */
    @Test
    public void callsOfRepeatedRequestAreCountedOnce() {
        PendingRequests pending = new PendingRequests();
        add(pending, calls("p1", 2, 8_000), 30_000);
        add(pending, calls("p2", 1, 6_000), 30_000);
        add(pending, calls("p1", 3, 8_000), 30_000);
        assertThat(merged(pending).count()).isEqualTo(4);
        assertThat(merged(pending).objectiveMillis()).isEqualTo(6_000);
    }

    /** Guards against waiting for the calls of an entry whose objectives are unknown. */
    @Test
    public void objectiveIsUnknownIfOneIs() {
        PendingRequests pending = new PendingRequests();
        add(pending, calls("p1", 1, 8_000), 30_000);
        add(pending, CallGroup.UNKNOWN, 30_000);
        assertThat(merged(pending).objectiveMillis()).isZero();
        assertThat(merged(pending).count()).isEqualTo(2);
    }

    @Test
    public void requestsThatAreTooLateAreTakenSingly() {
        PendingRequests pending = new PendingRequests();
        add(pending, calls("p1", 1, 8_000), 10_000);
        add(pending, calls("p2", 1, 8_000), 30_000);
        PendingRequests.Pending all = pending.mostUrgentFirst().get(0);
        all.takeTooLate(20_000)
                .forEach(each -> each.accept(new ModelRequestOutcome.TooLate(20_000)));
        assertThat(mAnswered).containsExactly("p1");
        assertThat(merged(pending).count()).isEqualTo(1);
        assertThat(all.callbacks()).hasSize(1);
        assertThat(all.takeTooLate(40_000)).isEmpty();
    }
}
