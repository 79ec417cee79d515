package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the estimate of what other entries send to servers. */
public class OtherRequestsTest {
    private static final long HORIZON_MILLIS = OtherRequests.horizonMillis(true);

    private static OtherRequests.Count count(int requests, int own, long millis) {
        OtherRequests.Count count = new OtherRequests.Count();
        count.record(requests, own, millis);
        return count;
    }

    private static int[] estimate(long now, OtherRequests.Count... counts) {
        return OtherRequests.estimate(List.of(counts), HORIZON_MILLIS, now);
    }

    @Test
    public void ownRequestsAreNotCountedAgain() {
        assertThat(estimate(0, count(10, 3, 0))).containsExactly(7);
        assertThat(estimate(0, count(2, 3, 0))).containsExactly(0);
    }

    /** Guards against servers that are preferred since they have sent no report. */
    @Test
    public void serverWithoutCountIsTakenForAverage() {
        OtherRequests.Count none = new OtherRequests.Count();
        assertThat(estimate(0, count(10, 0, 0), count(4, 0, 0), none)).containsExactly(10, 4, 7);
        assertThat(estimate(0, none)).containsExactly(0);
    }

    @Test
    public void oldCountsApproachAverage() {
        long now = HORIZON_MILLIS / 2;
        assertThat(estimate(now, count(10, 0, 0), count(4, 0, now))).containsExactly(8, 4);
        assertThat(estimate(2 * HORIZON_MILLIS, count(10, 0, 0))).containsExactly(0);
    }

    @Test
    public void olderCountDoesNotReplaceNewerOne() {
        OtherRequests.Count count = count(10, 0, 100);
        count.record(1, 0, 50);
        assertThat(estimate(100, count)).containsExactly(10);
    }

    @Test
    public void comparableRequestsAreAllRequestsIfEntriesSendAlike() {
        assertThat(OtherRequests.comparable(2, 14, 8)).isEqualTo(16);
        assertThat(OtherRequests.comparable(2, 0, 1)).isEqualTo(2);
        assertThat(OtherRequests.comparable(3, 14, 8)).isGreaterThan(17);
    }
}
