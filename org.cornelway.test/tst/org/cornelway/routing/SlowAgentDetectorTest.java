package org.cornelway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests that slow agents are detected, probed at intervals and used again after recovery. */
public final class SlowAgentDetectorTest {
    private long mNowMillis = 1_000;

    /** Records enough gaps to bring the agent's average close to {@code gapMillis}. */
    private void recordGaps(SlowAgentDetector detector, String agent, long gapMillis) {
        for (int i = 0; i < 20; i++) {
            detector.recordChunkGap(agent, gapMillis);
        }
    }

    @Test
    public void slowAgentIsProbedAndRecovers() {
        SlowAgentDetector detector = new SlowAgentDetector(() -> mNowMillis);
        for (int i = 0; i < 5; i++) {
            recordGaps(detector, "a" + i, 20);
        }
        recordGaps(detector, "slow", 200);
        assertThat(detector.avoidUnlessProbeDue("a0")).isFalse();
        assertThat(detector.avoidUnlessProbeDue("slow")).isTrue();
        // After one probe interval, one request to the slow agent is allowed.
        mNowMillis += 30_000;
        assertThat(detector.avoidUnlessProbeDue("slow")).isFalse();
        assertThat(detector.avoidUnlessProbeDue("slow")).isTrue();
        recordGaps(detector, "slow", 20);
        mNowMillis += 1_000;
        assertThat(detector.avoidUnlessProbeDue("slow")).isFalse();
    }

    @Test
    public void slowAgentIsNotDetectedAmongTwoAgents() {
        SlowAgentDetector detector = new SlowAgentDetector(() -> mNowMillis);
        recordGaps(detector, "a", 20);
        recordGaps(detector, "b", 2_000);
        assertThat(detector.avoidUnlessProbeDue("b")).isFalse();
    }
}
