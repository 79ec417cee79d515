package org.cornelway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Slow agents are found, looked at now and then, and let back. */
public final class SlowAgentDetectorTest {
    private long mNowMillis = 1_000;

    private void note(SlowAgentDetector table, String agent, long gapMillis) {
        for (int i = 0; i < 20; i++) {
            table.recordChunkGap(agent, gapMillis);
        }
    }

    @Test
    public void slowAgentIsLeftOutUntilItsProgressIsGoodAgain() {
        SlowAgentDetector table = new SlowAgentDetector(() -> mNowMillis);
        for (int i = 0; i < 5; i++) {
            note(table, "a" + i, 20);
        }
        note(table, "slow", 200);
        assertThat(table.isSlow("a0")).isFalse();
        assertThat(table.isSlow("slow")).isTrue();
        mNowMillis += 30_000;
        assertThat(table.isSlow("slow")).isFalse();
        assertThat(table.isSlow("slow")).isTrue();
        note(table, "slow", 20);
        mNowMillis += 1_000;
        assertThat(table.isSlow("slow")).isFalse();
    }

    @Test
    public void fewAgentsAreNotCompared() {
        SlowAgentDetector table = new SlowAgentDetector(() -> mNowMillis);
        note(table, "a", 20);
        note(table, "b", 2_000);
        assertThat(table.isSlow("b")).isFalse();
    }
}
