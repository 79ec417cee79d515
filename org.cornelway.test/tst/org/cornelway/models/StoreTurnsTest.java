package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the order of the loads from the checkpoint store, and when they are expected to end. */
public class StoreTurnsTest {
    private static final long LOAD_MILLIS = 10_000;
    private static final long NOW = 50_000;

    private static StoreTurns.Candidate candidate(String model, double rate, int waiting) {
        return new StoreTurns.Candidate(model, rate, waiting, 2, LOAD_MILLIS);
    }

    /** Guards against loads in the order in which models were asked for. */
    @Test
    public void modelWithMostCallsToGainIsFirst() {
        StoreTurns turns =
                new StoreTurns(
                        List.of(
                                candidate("few", 0.1, 0),
                                candidate("waiting", 0.1, 4),
                                candidate("often", 0.5, 0)),
                        List.of(),
                        List.of(),
                        1,
                        NOW);
        assertThat(turns.order()).containsExactly("often", "waiting", "few");
    }

    /** Guards against calls that are let wait and refused later because of newer calls. */
    @Test
    public void admittedModelIsNotOvertaken() {
        StoreTurns turns =
                new StoreTurns(
                        List.of(candidate("often", 2, 9), candidate("admitted", 0.1, 1)),
                        List.of("admitted"),
                        List.of(),
                        1,
                        NOW);
        assertThat(turns.order()).containsExactly("admitted", "often");
        assertThat(turns.endMillis("admitted")).isEqualTo(NOW + LOAD_MILLIS);
        assertThat(turns.endMillis("often")).isEqualTo(NOW + 2 * LOAD_MILLIS);
    }

    @Test
    public void loadBeginsWhenRunningOneEnds() {
        List<Long> ends = List.of(NOW + 3_000, NOW + 6_000);
        StoreTurns turns =
                new StoreTurns(
                        List.of(candidate("a", 3, 0), candidate("b", 2, 0), candidate("c", 1, 0)),
                        List.of(),
                        ends,
                        2,
                        NOW);
        assertThat(turns.endMillis("a")).isEqualTo(NOW + 13_000);
        assertThat(turns.endMillis("b")).isEqualTo(NOW + 16_000);
        assertThat(turns.endMillis("c")).isEqualTo(NOW + 23_000);
    }

    /** Guards against turns that are promised too early after the limit fell. */
    @Test
    public void loadsBeyondTheLimitAreNotReplaced() {
        StoreTurns turns =
                new StoreTurns(
                        List.of(candidate("a", 1, 0)),
                        List.of(),
                        List.of(NOW + 1_000, NOW + 5_000),
                        1,
                        NOW);
        assertThat(turns.endMillis("a")).isEqualTo(NOW + 15_000);
    }
}
