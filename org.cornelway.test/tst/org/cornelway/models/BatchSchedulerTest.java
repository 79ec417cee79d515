package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.testng.annotations.Test;

/** Tests loads for calls that may wait for each other, with simulated engines in virtual time. */
public class BatchSchedulerTest extends ModelControllerTestBase {
    private static final long OBJECTIVE_MILLIS = 8_000;
    private static final long DEADLINE_MILLIS = 30_000;

    private void startFull(int engines) {
        for (int i = 0; i < engines; i++) {
            addEngine("e" + i, "m1", "m2");
        }
        beginTerm();
        runFor(700);
    }

    private void requestBatch(String entry, String model) {
        requestDeferrable(entry, model, OBJECTIVE_MILLIS, DEADLINE_MILLIS);
    }

    /** Guards against a load for each call, and against one that comes after the objective. */
    @Test
    public void callsOfColdModelAreServedByOneLoadInTime() {
        startFull(1);
        // Loads that no call waits for end first.
        runFor(10_000);
        long before = mEngines.get("e0").acceptedOrders();
        requestBatch("p1", "m3");
        runFor(20);
        requestBatch("p2", "m3");
        assertThat(mOutcomes).isEmpty();
        for (long millis = 20; millis < OBJECTIVE_MILLIS && mOutcomes.isEmpty(); millis += 10) {
            runFor(10);
        }
        assertThat(mOutcomes).hasSize(2).allMatch(ModelRequestOutcome.Held.class::isInstance);
        assertThat(mEngines.get("e0").acceptedOrders()).isEqualTo(before + 2);
    }

    private static LoadPlan evictingPlan(boolean isWorthwhile) {
        return new LoadPlan(
                new ServerIncarnation("e0", 1),
                List.of("m1"),
                WeightSource.DISK,
                0,
                0,
                1_500,
                isWorthwhile);
    }

    /** Guards against a load that displaces a model with calls although its own calls can wait. */
    @Test
    public void loadThatCostsOthersMuchWaitsForItsLatestUsefulStart() {
        assertThat(BatchTiming.isDue(evictingPlan(false), 2_000, 1_999)).isFalse();
        assertThat(BatchTiming.isDue(evictingPlan(false), 2_000, 2_000)).isTrue();
    }

    /** Guards against calls that come late since their load was put off without need. */
    @Test
    public void loadThatCostsOthersLittleBeginsAtOnce() {
        assertThat(BatchTiming.isDue(evictingPlan(true), 2_000, 0)).isTrue();
    }

    @Test
    public void freeMemoryIsUsedAtOnce() {
        addEngine("e0", "m1");
        beginTerm();
        runFor(20);
        requestBatch("p1", "m3");
        runFor(300);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
    }

    /** Guards against calls that are held for a load whose turn comes after their deadline. */
    @Test
    public void callsWhoseTurnComesTooLateAreRefusedAtOnce() {
        startFull(12);
        long deadlineMillis = 2 * SimulatedEngine.STORE_LOAD_MILLIS + 2_000;
        for (int i = 0; i < UNCACHED_MODELS; i++) {
            requestDeferrable("p1", "r" + i, 4_000, deadlineMillis);
        }
        runFor(20);
        long refused =
                mOutcomes.stream().filter(ModelRequestOutcome.TooLate.class::isInstance).count();
        assertThat(refused).isBetween(1L, (long) UNCACHED_MODELS - 1);
        assertThat(mOutcomes).hasSize((int) refused);
        assertThat(mOutcomes)
                .allSatisfy(
                        outcome ->
                                assertThat(((ModelRequestOutcome.TooLate) outcome).expectedMillis())
                                        .isGreaterThanOrEqualTo(deadlineMillis));
        runFor(deadlineMillis);
        assertThat(mOutcomes).hasSize(UNCACHED_MODELS);
        assertThat(mOutcomes.stream().filter(ModelRequestOutcome.TooLate.class::isInstance).count())
                .isEqualTo(refused);
    }

    /** Guards against a call that is held because another one for the model has more time. */
    @Test
    public void mergedCallWithTooLittleTimeIsRefusedAlone() {
        startFull(1);
        requestBatch("p1", "r1");
        runFor(20);
        requestDeferrable("p2", "r1", OBJECTIVE_MILLIS, 100);
        runFor(20);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.TooLate.class);
        runFor(5_000);
        assertThat(mOutcomes).hasSize(2);
        assertThat(mOutcomes.get(1)).isInstanceOf(ModelRequestOutcome.Held.class);
    }

    private DirectorySnapshot directoryWithout(String lost) {
        Map<String, ServerRecord> servers =
                mEngines.keySet().stream()
                        .filter(id -> !id.equals(lost))
                        .collect(Collectors.toMap(id -> id, SimulatedEngine::record));
        return new DirectorySnapshot(new HashMap<>(servers));
    }

    /** Plays an engine that is lost while it loads the model of waiting calls. */
    @Test
    public void collectedCallsContinueOnAnotherEngine() {
        startFull(2);
        requestBatch("p1", "r1");
        runFor(100);
        String loading =
                mEngines.entrySet().stream()
                        .filter(each -> each.getValue().isReadingStore())
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseThrow();
        mController.applyDirectory(directoryWithout(loading));
        runFor(2_000);
        assertThat(mOutcomes)
                .singleElement()
                .isInstanceOfSatisfying(
                        ModelRequestOutcome.Held.class,
                        held -> assertThat(held.engine().id()).isNotEqualTo(loading));
    }

    /** Plays a change of the controller: the entries repeat the requests that it had. */
    @Test
    public void newControllerLoadsForRepeatedRequests() {
        startFull(1);
        requestBatch("p1", "m3");
        runFor(20);
        mController.endTerm();
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.NotController.class);
        beginTerm();
        requestDeferrable("p1", "m3", OBJECTIVE_MILLIS - 1_000, DEADLINE_MILLIS);
        runFor(OBJECTIVE_MILLIS - 1_000);
        assertThat(mOutcomes).hasSize(2);
        assertThat(mOutcomes.get(1)).isInstanceOf(ModelRequestOutcome.Held.class);
    }
}
