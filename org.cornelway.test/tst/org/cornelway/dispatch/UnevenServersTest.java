package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Plays calls of several entries to servers whose reports are late, and compares the present choice
 * of servers with the baseline {@link LeastLoadedChooser} and the view that it was made for. Prints
 * the figures that docs/design/uneven-servers.md quotes.
 */
public class UnevenServersTest {
    private static final long PLAYED_MILLIS = 30_000;
    private static final int SEEDS = 2;
    private static final double SLOW_SHARE = 0.15;

    private static ModelledFleet.Figures play(String name, ModelledLoad load, boolean baseline) {
        ModelledFleet.Figures figures = new ModelledFleet.Figures();
        for (int seed = 1; seed <= SEEDS; seed++) {
            ModelledFleet fleet =
                    baseline
                            ? new ModelledFleet(
                                    load,
                                    new LeastLoadedChooser(),
                                    (clock, entries) -> new ModelledView.ReportsView(clock),
                                    false,
                                    seed)
                            : new ModelledFleet(
                                    load, new BalancedChooser(), ModelledView::of, true, seed);
            figures.add(fleet.play(PLAYED_MILLIS));
        }
        Reporter.log(name + (baseline ? " baseline: " : ": ") + figures, true);
        return figures;
    }

    private static void assertNoWorse(String name, ModelledLoad load) {
        ModelledFleet.Figures baseline = play(name, load, true);
        ModelledFleet.Figures present = play(name, load, false);
        assertThat(present.share("release", "read"))
                .isGreaterThanOrEqualTo(baseline.share("release", "read"));
        assertThat(present.share("draft")).isGreaterThanOrEqualTo(baseline.share("draft"));
        assertThat(present.share("check")).isGreaterThanOrEqualTo(baseline.share("check"));
        assertThat(present.mPreemptions).isLessThanOrEqualTo(baseline.mPreemptions);
        assertThat(present.mRefusals).isLessThanOrEqualTo(baseline.mRefusals);
        assertThat(present.busiestEngine()).isLessThan(baseline.busiestEngine());
        assertThat(present.busiestPlain()).isLessThan(baseline.busiestPlain());
    }

    /** Guards against entries that send calls to servers which are slow for a moment. */
    @Test
    public void callsAreNoLaterIfSomeServersAreSlow() {
        assertNoWorse("uneven", ModelledLoad.of(SLOW_SHARE, 700, 200));
    }

    /** Guards against a choice that serves deployments with equal servers worse. */
    @Test
    public void callsAreNoLaterIfServersAreEqual() {
        assertNoWorse("equal", ModelledLoad.of(0, 700, 200));
    }

    /** Guards against a choice that depends on how many calls each entry has in flight. */
    @Test
    public void callsAreNoLaterWithManyEntries() {
        assertNoWorse("many entries", ModelledLoad.ofManyEntries(SLOW_SHARE));
    }

    /** Guards against entries that together fill an engine of which each sees a part. */
    @Test
    public void fewerStreamsArePreemptedIfMemoryIsShort() {
        assertNoWorse("short memory", ModelledLoad.of(SLOW_SHARE, 2_600, 215));
    }
}
