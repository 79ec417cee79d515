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

/** Tests which orders are sent to an engine with memory for two models, and when. */
public final class ResidencyTest {
    private static final String SELF = "s1";
    private static final long CAPACITY_BYTES = 20;
    private static final long MODEL_BYTES = 10;

    /** Time at which the recovery wait ends; the first read of the engine's state is at 0. */
    private static final long RECOVERED_MILLIS = Residency.RECOVERY_WAIT_MILLIS;

    private MemoryLedger mLedger;
    private Residency mResidency;

    @BeforeMethod
    public void newResidency() {
        mLedger = new MemoryLedger(0, Invariants.strict());
        mResidency =
                new Residency(SELF, mLedger, new LeastRecentlyUsedEviction(), Invariants.strict());
        List<ModelRule> rules =
                List.of(
                        new ModelRule("a", MODEL_BYTES, 0, 1),
                        new ModelRule("b", MODEL_BYTES, 0, 1),
                        new ModelRule("c", MODEL_BYTES, 0, 1));
        mResidency.applyPreset(
                new PresetIndex(
                        new Preset("p", rules, List.of(), List.of(), List.of(), 60_000, 1)));
    }

    /** Completes the recovery; the engine reports the given models in both reads of its state. */
    private void recover(HeldModel... held) {
        EngineStatus status = new EngineStatus(CAPACITY_BYTES, List.of(held));
        mResidency.reconcile(status, 0);
        mResidency.reconcile(status, RECOVERED_MILLIS);
    }

    private void applyPlacement(long fencingNumber, boolean mayLoad, SlotBinding... bindings) {
        mResidency.applyPlacement(
                new PlacementDocument(0, fencingNumber, "c", 1, List.of(bindings)), mayLoad);
    }

    private static SlotBinding binding(String model) {
        return new SlotBinding(model, 0, SELF, false, false);
    }

    private static Demand demand(String model, long deadlineMillis) {
        return new Demand(model, "", new Deadline(deadlineMillis), RECOVERED_MILLIS);
    }

    private static HeldModel loaded(String model) {
        return new HeldModel(model, true, MODEL_BYTES, List.of());
    }

    @Test
    public void sendsNoOrderUntilThoseOfThePreviousIncarnationHaveArrived() {
        applyPlacement(1, true, binding("a"), binding("b"), binding("c"));
        mResidency.reconcile(new EngineStatus(CAPACITY_BYTES, List.of()), 0);
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), 1)).isEmpty();
        assertThat(mResidency.isRecovered()).isFalse();
        // Two loads that the agent's previous incarnation sent reach the engine after the first
        // read of its state.
        mResidency.reconcile(
                new EngineStatus(CAPACITY_BYTES, List.of(loaded("b"), loaded("c"))),
                RECOVERED_MILLIS);
        // The engine is full, so a model must be unloaded before "a" can be loaded.
        Optional<EngineOrder> order =
                mResidency.nextModelOrder(List.of(demand("a", 9_000)), RECOVERED_MILLIS);
        assertThat(order.map(EngineOrder::kind)).contains(EngineOrder.Kind.UNLOAD);
    }

    @Test
    public void nothingIsLoadedWithoutSlot() {
        recover();
        applyPlacement(1, true, binding("a"));
        assertThat(mResidency.nextModelOrder(List.of(demand("b", 9_000)), RECOVERED_MILLIS))
                .isEmpty();
    }

    @Test
    public void nothingIsLoadedUnderPossiblyStalePlacement() {
        recover();
        applyPlacement(1, false, binding("a"));
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), RECOVERED_MILLIS))
                .isEmpty();
        applyPlacement(1, true, binding("a"));
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), RECOVERED_MILLIS))
                .isPresent();
    }

    @Test
    public void earliestDeadlineLoadsFirst() {
        recover();
        applyPlacement(1, true, binding("a"), binding("b"));
        Optional<EngineOrder> order =
                mResidency.nextModelOrder(
                        List.of(demand("a", 9_000), demand("b", 5_000)), RECOVERED_MILLIS);
        assertThat(order.map(EngineOrder::model)).contains("b");
        assertThat(mResidency.nextModelOrder(List.of(demand("a", 9_000)), RECOVERED_MILLIS))
                .isEmpty();
    }

    @Test
    public void memoryIsReleasedOnlyOnceTheEngineReportsTheUnload() {
        recover(loaded("a"), loaded("b"));
        applyPlacement(1, true, binding("a"), binding("b"), binding("c"));
        EngineOrder unload =
                mResidency
                        .nextModelOrder(List.of(demand("c", 9_000)), RECOVERED_MILLIS)
                        .orElseThrow();
        assertThat(unload.kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(mLedger.freeBytes()).isZero();
        mResidency.applyOutcome(
                unload, new OrderOutcome.Unconfirmed("answer lost"), RECOVERED_MILLIS);
        // An unconfirmed unload may not have been carried out, so its memory stays reserved.
        assertThat(mLedger.freeBytes()).isZero();
        assertThat(mResidency.needsEngineStatus()).isTrue();
        mResidency.reconcile(
                new EngineStatus(CAPACITY_BYTES, List.of(loaded("b"))), RECOVERED_MILLIS + 1);
        assertThat(mLedger.freeBytes()).isEqualTo(MODEL_BYTES);
    }

    @Test
    public void busyReleasedModelIsUnloadedOnceItsRequestsEnd() {
        recover(loaded("a"));
        applyPlacement(1, true, binding("a"));
        mResidency.requestStarted("a", RECOVERED_MILLIS);
        applyPlacement(2, true, binding("a").toReleasing());
        assertThat(mResidency.nextModelOrder(List.of(), RECOVERED_MILLIS)).isEmpty();
        assertThat(mResidency.canStart("a", "")).isFalse();
        mResidency.requestEnded("a", RECOVERED_MILLIS);
        assertThat(mResidency.nextModelOrder(List.of(), RECOVERED_MILLIS).map(EngineOrder::kind))
                .contains(EngineOrder.Kind.UNLOAD);
    }

    @Test
    public void placementWithLowerFencingNumberIsIgnored() {
        recover();
        applyPlacement(2, true);
        applyPlacement(1, true, binding("a"));
        assertThat(mResidency.holdsSlot("a")).isFalse();
        assertThat(mResidency.fencingNumber()).isEqualTo(2);
    }
}
