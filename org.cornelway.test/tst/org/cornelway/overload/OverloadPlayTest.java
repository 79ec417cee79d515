package org.cornelway.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelway.overload.PlayedLoad.Burst;
import org.cornelway.overload.PlayedLoad.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays the two loads of contended capacity against the policy and the order of arrival. */
public class OverloadPlayTest {
    private static final Kind LIVE = new Kind("live", 0, 66, 252, 2_000, 700, 280, 6, 0.24);
    private static final Kind CHECK = new Kind("check", 1, 66, 1_000, 4_000, 380, 48, 1.5, 0.15);
    private static final Kind NIGHT = new Kind("night", 2, 30, 8_000, 30_000, 700, 280, 18.2, 4);
    private static final List<Kind> KINDS = List.of(LIVE, CHECK, NIGHT);
    private static final long MILLIS = 60_000;
    private static final long SEED = 11;
    private static final Set<String> BURSTING = Set.of("c03", "c05", "c09");

    private static PlayedLoad burstOf(String kind, double factor) {
        return new PlayedLoad(
                KINDS,
                Map.of(),
                List.of(
                        new Burst(kind, factor, 10_000, 16_000),
                        new Burst(kind, factor, 36_000, 42_000)),
                MILLIS);
    }

    private static PlayedLoad burstOfCustomers() {
        return new PlayedLoad(
                KINDS,
                PlayedLoad.unequalCustomers(16),
                BURSTING.stream().sorted().map(name -> new Burst(name, 6, 10_000, 20_000)).toList(),
                MILLIS);
    }

    private static PlayOutcome play(String name, OverloadPolicy policy, PlayedLoad load) {
        PlayOutcome outcome = new OverloadPlay(policy, true).play(load, SEED);
        System.out.println(name + ", " + policy.getClass().getSimpleName());
        System.out.print(outcome.describe());
        return outcome;
    }

    @DataProvider
    public Object[][] burstingKinds() {
        return new Object[][] {{"live"}, {"check"}, {"night"}};
    }

    /** Guards against the urgent calls being refused in favour of less urgent ones. */
    @Test(dataProvider = "burstingKinds")
    public void kindsKeepTheirOrderInBurstOfOneKind(String kind) {
        PlayedLoad load = burstOf(kind, 2.4);
        PlayOutcome base = play("burst of " + kind, new ArrivalOrder(), load);
        PlayOutcome outcome = play("burst of " + kind, new LeastLoss(), load);
        assertOrder(outcome);
        assertThat(outcome.all().weightedLoss()).isLessThanOrEqualTo(base.all().weightedLoss());
    }

    private static void assertOrder(PlayOutcome outcome) {
        for (Kind urgent : KINDS) {
            PlayOutcome.Counts counts = outcome.kind(urgent.name());
            assertThat(counts.servedShare())
                    .as(urgent.name())
                    .isGreaterThan(outcome.all().servedShare() / 4);
            for (Kind other : KINDS) {
                if (urgent.priority() < other.priority()) {
                    assertThat(counts.servedShare())
                            .as(urgent.name() + " before " + other.name())
                            .isGreaterThan(outcome.kind(other.name()).servedShare() - 0.05);
                }
            }
        }
    }

    /** Guards against a kind of call that is starved while the shortage lasts. */
    @Test
    public void noKindStarvesInLongShortage() {
        PlayedLoad load =
                new PlayedLoad(
                        KINDS, Map.of(), List.of(new Burst("live", 3, 5_000, MILLIS)), MILLIS);
        play("long shortage", new ArrivalOrder(), load);
        assertOrder(play("long shortage", new LeastLoss(), load));
    }

    /** Guards against customers within their shares paying for those beyond. */
    @Test
    public void customersWithinTheirSharesLoseNothing() {
        PlayedLoad load = burstOfCustomers();
        PlayOutcome usual = play("usual load", new LeastLoss(), load.usual());
        play("three customers sixfold", new ArrivalOrder(), load);
        PlayOutcome outcome = play("three customers sixfold", new LeastLoss(), load);
        assertOrder(outcome);
        double lost = 0;
        double asked = 0;
        for (String name : load.customers().keySet()) {
            PlayOutcome.Counts counts = outcome.customer(name);
            assertThat(counts.servedShare())
                    .as(name)
                    .isGreaterThan(outcome.all().servedShare() / 4);
            if (!BURSTING.contains(name)) {
                assertThat(counts.servedShare()).as(name).isGreaterThan(0.97);
                asked += counts.asked();
                lost +=
                        counts.asked()
                                * (usual.customer(name).inTimeShare() - counts.inTimeShare());
            }
        }
        assertThat(lost / asked).isLessThan(0.02);
    }

    /** Guards against the policy changing anything while the engines have room. */
    @Test
    public void nothingIsRefusedWithRoom() {
        PlayedLoad load = new PlayedLoad(KINDS, Map.of(), List.of(), MILLIS);
        PlayOutcome base = new OverloadPlay(new ArrivalOrder(), true).play(load, SEED);
        PlayOutcome outcome = play("usual load", new LeastLoss(), load);
        assertThat(outcome.all().refused()).isZero();
        assertThat(outcome.all().inTimeShare()).isGreaterThanOrEqualTo(base.all().inTimeShare());
    }
}
