package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelUsage;
import org.testng.annotations.Test;

/** Tests the controller with simulated engines in virtual time. */
public class ModelControllerTest extends ModelControllerTestBase {
    @Test
    public void evictsOnlyAfterWarmUpAtTermStart() {
        addEngine("e1", "m1", "m2");
        beginTerm();
        runFor(50);
        request("m3", 5_000);
        runFor(500);
        assertThat(mEngines.get("e1").models()).containsExactlyInAnyOrder("m1", "m2");
        runFor(1_000);
        assertThat(mEngines.get("e1").models()).contains("m3");
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
    }

    @Test
    public void concurrentStoreLoadsAreLimited() {
        for (int i = 0; i < 12; i++) {
            addEngine("e" + i);
        }
        beginTerm();
        runFor(50);
        for (int i = 0; i < UNCACHED_MODELS; i++) {
            request("r" + i, 60_000);
        }
        for (int i = 0; i < 800; i++) {
            runFor(10);
            long reading =
                    mEngines.values().stream().filter(SimulatedEngine::isReadingStore).count();
            assertThat(reading).isLessThanOrEqualTo(MAX_STORE_LOADS);
        }
        assertThat(mOutcomes).hasSize(UNCACHED_MODELS);
        assertThat(mEngines.values()).allSatisfy(e -> assertThat(e.overcommits()).isZero());
    }

    @Test
    public void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        addEngine("e1", "m1", "m2");
        beginTerm();
        runFor(700);
        request("r1", SimulatedEngine.STORE_LOAD_MILLIS / 3);
        runFor(30);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.TooLate.class);
    }

    /**
     * Plays requests for many models that no engine can load yet, as when demand moves: the cost of
     * a round grows with the engines plus the requests.
     */
    @Test
    public void requestsOfRoundShareTheViewsOfEngines() {
        int engines = 10;
        for (int i = 0; i < engines; i++) {
            addEngine("e" + i, "m1", "m2");
        }
        beginTerm();
        runFor(50);
        for (int i = 0; i < UNCACHED_MODELS; i++) {
            request("r" + i, 60_000);
        }
        mSeenViews.clear();
        mSeenViewCount = 0;
        mController.runRound();
        assertThat(mSeenViewCount).isGreaterThanOrEqualTo(engines * UNCACHED_MODELS);
        assertThat(mSeenViews.size()).isLessThanOrEqualTo(2 * engines);
    }

    private static LoadPlan planOn(String engine, WeightSource source, long loadMillis) {
        return new LoadPlan(
                SimulatedEngine.record(engine).incarnation(),
                List.of("m2"),
                source,
                0,
                0,
                loadMillis,
                true);
    }

    /** Plays a load that takes long while an engine with a cached copy becomes available. */
    @Test
    public void engineWithCopyLoadsModelThatIsStillLoadingElsewhere() {
        addEngine("e1", "m1", "m2");
        addEngine("e2", "m1", "m2");
        beginTerm();
        runFor(700);
        mFixedPlan = Optional.of(planOn("e1", WeightSource.STORE, 60_000));
        request("m4", 90_000);
        runFor(10);
        mFixedPlan = Optional.of(planOn("e2", WeightSource.DISK, 60));
        runFor(200);
        assertThat(mEngines.get("e2").models()).contains("m4");
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
    }

    private void occupyStore() {
        for (int i = 0; i < MAX_STORE_LOADS; i++) {
            request("r" + i, 60_000);
        }
        runFor(20);
    }

    @Test
    public void requestIsRefusedAtOnceIfTheStoreHasNoCapacityInTime() {
        for (int i = 0; i < 12; i++) {
            addEngine("e" + i);
        }
        beginTerm();
        runFor(700);
        occupyStore();
        request("r9", SimulatedEngine.STORE_LOAD_MILLIS + 100);
        runFor(30);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.TooLate.class);
    }

    /** Plays a call for a model without copies that is refused, and retried after a while. */
    @Test
    public void refusedModelIsLoadedWhileOtherCallsWait() {
        for (int i = 0; i < 12; i++) {
            addEngine("e" + i);
        }
        beginTerm();
        runFor(700);
        occupyStore();
        request("r9", SimulatedEngine.STORE_LOAD_MILLIS + 100);
        for (int i = 0; i < 30; i++) {
            mController
                    .demand()
                    .recordReport(
                            "p1",
                            new ModelUsage.Snapshot(List.of(), Map.of("r9", new ModelRate(1, 500))),
                            mTime.now(TimeUnit.MILLISECONDS));
            runFor(50);
        }
        assertThat(mEngines.values().stream().filter(e -> e.models().contains("r9"))).isNotEmpty();
    }

    /**
     * Plays a model whose calls need more replicas, without another copy, while calls wait for many
     * models that must be loaded from the store too.
     */
    @Test
    public void replicaOfBusyModelGetsCapacityOfTheStore() {
        addEngine("e0", "r20", "r21");
        for (int i = 1; i < 12; i++) {
            addEngine("e" + i, "m1", "m2");
        }
        beginTerm();
        runFor(700);
        for (int i = 0; i < 200; i++) {
            mController
                    .demand()
                    .recordReport(
                            "p1",
                            new ModelUsage.Snapshot(
                                    List.of(), Map.of("r20", new ModelRate(40, 500))),
                            mTime.now(TimeUnit.MILLISECONDS));
            for (int model = 0; model < 20; model++) {
                request("r" + model, 60_000);
            }
            runFor(10);
        }
        assertThat(mEngines.values().stream().filter(e -> e.models().contains("r20")).count())
                .isGreaterThan(1);
    }

    /**
     * Plays demand that moves to a model that one engine holds and many engines have cached, while
     * unloads wait for active calls.
     */
    @Test
    public void demandThatMovesGetsItsReplicasTogether() {
        addEngine("e0", "m4", "m3");
        for (int i = 1; i < 8; i++) {
            addEngine("e" + i, "m1", "m2");
            mEngines.get("e" + i).setDrainMillis(400);
        }
        beginTerm();
        runFor(700);
        for (int i = 0; i < 12; i++) {
            // The calls need five replicas.
            mController
                    .demand()
                    .recordReport(
                            "p1",
                            new ModelUsage.Snapshot(
                                    List.of(), Map.of("m4", new ModelRate(18, 500))),
                            mTime.now(TimeUnit.MILLISECONDS));
            runFor(100);
        }
        assertThat(mEngines.values().stream().filter(e -> e.models().contains("m4")).count())
                .isGreaterThanOrEqualTo(5);
    }

    private long acceptedOrders() {
        return mEngines.values().stream().mapToLong(SimulatedEngine::acceptedOrders).sum();
    }

    /** Plays more models without cached copies than places, and no call. */
    @Test
    public void modelsDoNotReplaceEachOtherWithoutCalls() {
        addEngine("e1", "r0", "r1");
        addEngine("e2", "r0");
        beginTerm();
        runFor(10_000);
        long settled = acceptedOrders();
        runFor(60_000);
        assertThat(acceptedOrders()).isEqualTo(settled);
    }

    /** Plays a model without copies whose calls are refused while idle models take all places. */
    @Test
    public void modelWithCallsTakesThePlaceOfAnIdleModelWithoutOtherCopies() {
        addEngine("e1", "r0", "r1");
        beginTerm();
        for (int i = 0; i < 30; i++) {
            ModelUsage.Snapshot usage =
                    new ModelUsage.Snapshot(List.of(), Map.of("r9", new ModelRate(1, 500)));
            mController.demand().recordReport("p1", usage, mTime.now(TimeUnit.MILLISECONDS));
            runFor(100);
        }
        assertThat(mEngines.get("e1").models()).contains("r9");
    }
}
