package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Plays loads from stores that serve different numbers of loads at full speed. */
public class StoreLoadLimitTest {
    private static final long FULL_SPEED_MILLIS = 8_000;
    private static final int MAX_LIMIT = 12;

    /** Plays loads at the limit; beyond the full-speed number they take proportionally longer. */
    private static int limitAfterLoads(int fullSpeedLoads, int loads) {
        StoreLoadLimit limit = new StoreLoadLimit(MAX_LIMIT);
        for (int i = 0; i < loads; i++) {
            int concurrent = limit.limit();
            long millis = FULL_SPEED_MILLIS * Math.max(concurrent, fullSpeedLoads) / fullSpeedLoads;
            limit.recordLoad(FULL_SPEED_MILLIS, millis, concurrent);
        }
        return limit.limit();
    }

    @Test
    public void limitFallsToTheNumberAtFullSpeed() {
        assertThat(limitAfterLoads(2, 1)).isEqualTo(2);
        assertThat(limitAfterLoads(3, 1)).isEqualTo(3);
    }

    /** A load may take a quarter longer before it counts as slow, and one more load is tried. */
    @Test
    public void limitStaysNearTheNumberAtFullSpeed() {
        for (int fullSpeed = 1; fullSpeed <= 8; fullSpeed++) {
            for (int loads = 20; loads < 40; loads++) {
                assertThat(limitAfterLoads(fullSpeed, loads))
                        .isBetween(fullSpeed, fullSpeed * 5 / 4 + 1);
            }
        }
    }

    @Test
    public void limitDoesNotRiseWhileItIsNotReached() {
        StoreLoadLimit limit = new StoreLoadLimit(MAX_LIMIT);
        limit.recordLoad(FULL_SPEED_MILLIS, 2 * FULL_SPEED_MILLIS, 8);
        limit.recordLoad(FULL_SPEED_MILLIS, FULL_SPEED_MILLIS, 2);
        assertThat(limit.limit()).isEqualTo(4);
    }
}
