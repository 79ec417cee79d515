package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the limit finds the number of loads that the store serves at full speed. */
public class SteadyStoreLoadLimitTest {
    private static final long LOAD_MILLIS = 1_000;
    private static final int MAX_LIMIT = 4;

    @DataProvider
    public Object[][] stores() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    /**
     * Guards against a limit that alternates between two numbers, each slow load delaying others.
     */
    @Test(dataProvider = "stores")
    public void mostLoadsRunAtFullSpeed(int fullSpeed) {
        SteadyStoreLoadLimit limit = new SteadyStoreLoadLimit(MAX_LIMIT);
        int slow = 0;
        int atFullSpeed = 0;
        for (int load = 0; load < 60; load++) {
            int concurrent = limit.limit();
            double slowness = Math.max(1, concurrent / (double) fullSpeed);
            slow += slowness > 1 ? 1 : 0;
            atFullSpeed += concurrent == fullSpeed ? 1 : 0;
            limit.recordLoad(LOAD_MILLIS, (long) (LOAD_MILLIS * slowness), concurrent);
        }
        assertThat(slow).isLessThan(10);
        assertThat(atFullSpeed).isGreaterThan(45);
    }

    /** Guards against a limit of one because a load that began alone was slowed by later ones. */
    @Test
    public void loadsThatBeganLaterCount() {
        SteadyStoreLoadLimit limit = new SteadyStoreLoadLimit(MAX_LIMIT);
        limit.recordLoad(LOAD_MILLIS, LOAD_MILLIS, 2);
        limit.recordLoad(LOAD_MILLIS, LOAD_MILLIS * 3 / 2, 3);
        assertThat(limit.limit()).isEqualTo(2);
    }
}
