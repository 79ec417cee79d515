package org.cornelway.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.cornelway.config.ModelRule;
import org.cornelway.config.Preset;
import org.cornelway.config.PresetIndex;
import org.cornelway.invariant.Invariants;
import org.cornelway.memory.MemoryLedger;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.SlotBinding;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.EngineStatus;
import org.cornelway.platform.EngineStatus.HeldModel;
import org.cornelway.platform.OrderOutcome;
import org.cornelway.time.Deadline;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Orders to one engine that holds two models. */
public final class ResidencyTest {
    private static final String SELF = "s1";
    private static final long CAPACITY = 20;
    private static final long BYTES = 10;
    private static final long READY = Residency.RECOVERY_WAIT_MILLIS;

    private MemoryLedger mLedger;
    private Residency mResidency;

    @BeforeMethod
    public void newResidency() {
        mLedger = new MemoryLedger(0, Invariants.strict());
        mResidency =
                new Residency(SELF, mLedger, new LeastRecentlyUsedEviction(), Invariants.strict());
        List<ModelRule> rules =
                List.of(
                        new ModelRule("a", BYTES, 0, 1),
                        new ModelRule("b", BYTES, 0, 1),
                        new ModelRule("c", BYTES, 0, 1));
        mResidency.applyPreset(
                new PresetIndex(
                        new Preset("p", rules, List.of(), List.of(), List.of(), 60_000, 1)));
    }

    private void recover(HeldModel... held) {
        EngineStatus truth = new EngineStatus(CAPACITY, List.of(held));
        mResidency.reconcile(truth, 0);
        mResidency.reconcile(truth, READY);
    }

    private void place(long number, boolean mayLoad, SlotBinding... bindings) {
        mResidency.applyPlacement(
                new PlacementDocument(0, number, "c", 1, List.of(bindings)), mayLoad);
    }

    private static SlotBinding held(String model) {
        return new SlotBinding(model, 0, SELF, false, false);
    }

    private static Demand demand(String model, long deadline) {
        return new Demand(model, "", new Deadline(deadline), READY);
    }

    private static HeldModel loaded(String model) {
        return new HeldModel(model, true, BYTES, List.of());
    }

    @Test
    public void ordersWaitUntilOrdersOfAnEarlierAgentHaveArrived() {
        place(1, true, held("a"), held("b"), held("c"));
        mResidency.reconcile(new EngineStatus(CAPACITY, List.of()), 0);
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), 1)).isEmpty();
        assertThat(mResidency.isRecovered()).isFalse();
        // The earlier agent's two loads arrive after the first reading.
        mResidency.reconcile(new EngineStatus(CAPACITY, List.of(loaded("b"), loaded("c"))), READY);
        Optional<EngineOrder> order = mResidency.nextModelOrder(List.of(demand("a", 9_000)), READY);
        assertThat(order.map(EngineOrder::kind)).contains(EngineOrder.Kind.UNLOAD);
    }

    @Test
    public void nothingIsLoadedWithoutSlot() {
        recover();
        place(1, true, held("a"));
        assertThat(mResidency.nextModelOrder(List.of(demand("b", 9_000)), READY)).isEmpty();
    }

    @Test
    public void nothingIsLoadedUnderPlacementThatMayBeOld() {
        recover();
        place(1, false, held("a"));
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), READY)).isEmpty();
        place(1, true, held("a"));
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), READY)).isPresent();
    }

    @Test
    public void earliestDeadlineLoadsFirst() {
        recover();
        place(1, true, held("a"), held("b"));
        Optional<EngineOrder> order =
                mResidency.nextModelOrder(List.of(demand("a", 9_000), demand("b", 5_000)), READY);
        assertThat(order.map(EngineOrder::model)).contains("b");
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), READY)).isEmpty();
    }

    @Test
    public void memoryIsFreeOnlyAfterTheEngineConfirmed() {
        recover(loaded("a"), loaded("b"));
        place(1, true, held("a"), held("b"), held("c"));
        EngineOrder unload =
                mResidency.nextModelOrder(List.of(demand("c", 9_000)), READY).orElseThrow();
        assertThat(unload.kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(mLedger.freeBytes()).isZero();
        mResidency.applyOutcome(unload, new OrderOutcome.Unconfirmed("answer lost"), READY);
        assertThat(mLedger.freeBytes()).isZero();
        assertThat(mResidency.needsEngineStatus()).isTrue();
        mResidency.reconcile(new EngineStatus(CAPACITY, List.of(loaded("b"))), READY + 1);
        assertThat(mLedger.freeBytes()).isEqualTo(BYTES);
    }

    @Test
    public void busyReleasedModelIsUnloadedOnceItsWorkEnded() {
        recover(loaded("a"));
        place(1, true, held("a"));
        mResidency.begin("a", READY);
        place(2, true, held("a").toReleasing());
        assertThat(mResidency.nextModelOrder(List.of(), READY)).isEmpty();
        assertThat(mResidency.canStart("a", "")).isFalse();
        mResidency.end("a", READY);
        assertThat(mResidency.nextModelOrder(List.of(), READY).map(EngineOrder::kind))
                .contains(EngineOrder.Kind.UNLOAD);
    }

    @Test
    public void olderPlacementIsIgnored() {
        recover();
        place(2, true);
        place(1, true, held("a"));
        assertThat(mResidency.holdsSlot("a")).isFalse();
        assertThat(mResidency.fencingNumber()).isEqualTo(2);
    }
}
