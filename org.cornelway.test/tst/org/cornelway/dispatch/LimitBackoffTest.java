package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests when callers come back that were refused because servers are at their limits. */
public class LimitBackoffTest {
    private static final int ENTRIES = 4;

    @Test
    public void callersOfOneSecondComeBackOverTheTimeThatServersNeedForThem() {
        LimitBackoff backoff = new LimitBackoff();
        Random random = new Random(7);
        double rate = 20;
        long latest = 0;
        for (int i = 0; i < 20; i++) {
            latest = Math.max(latest, backoff.refuse(rate, ENTRIES, random.nextInt(), i * 50));
        }
        // 80 callers at 20 a second.
        assertThat(latest).isBetween(2_000L, 4_300L);
    }

    @Test
    public void delayIsBoundedHoweverScarceTheRate() {
        LimitBackoff backoff = new LimitBackoff();
        Random random = new Random(7);
        for (int i = 0; i < 5_000; i++) {
            assertThat(backoff.refuse(0, 390, random.nextInt(), i)).isBetween(300L, 10_000L);
        }
    }
}
