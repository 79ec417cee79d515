package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.dispatch.ServerLimits;
import org.testng.annotations.Test;

/** Tests the permits of entries that hear from no controller. */
public class FallbackPermitsTest {
    private static final ServerIncarnation SERVER = new ServerIncarnation("s", 1);
    private static final double LIMIT = 1.2;
    private static final long REPORT_MILLIS = 250;
    private static final long WINDOW_MILLIS = 4_000;

    private static ServerLimits.Report report(int wanted, long nowMillis) {
        return new ServerLimits.Report(
                List.of(new LimitObservation(SERVER, OptionalDouble.of(LIMIT), 0, 10)),
                Map.of(SERVER, wanted),
                nowMillis);
    }

    private static int deal(FallbackPermits permits, long nowMillis) {
        return permits.deal(report(3, nowMillis), nowMillis).getOrDefault(SERVER, 0);
    }

    @Test
    public void nothingIsDealtOutWhileTheControllerReplies() {
        FallbackPermits permits = new FallbackPermits("a", () -> true, 0);
        for (long now = 0; now < 60_000; now += REPORT_MILLIS) {
            permits.recordReply(now);
            assertThat(deal(permits, now)).isZero();
        }
    }

    @Test
    public void entryThatIsNotSelectedDealsOutNothing() {
        FallbackPermits permits = new FallbackPermits("a", () -> false, 0);
        for (long now = 0; now < 60_000; now += REPORT_MILLIS) {
            assertThat(deal(permits, now)).isZero();
        }
    }

    @Test
    public void selectedEntriesTogetherKeepToTheLimitAfterAnyQuietTime() {
        List<FallbackPermits> entries = new ArrayList<>();
        for (int i = 0; i < FallbackPermits.SHARERS; i++) {
            entries.add(new FallbackPermits("entry-" + i, () -> true, 0));
        }
        List<Long> dealt = new ArrayList<>();
        for (long now = 0; now < 120_000; now += REPORT_MILLIS) {
            boolean quiet = now % 40_000 < 20_000;
            for (FallbackPermits each : entries) {
                int count = each.deal(report(quiet ? 0 : 3, now), now).getOrDefault(SERVER, 0);
                for (int i = 0; i < count; i++) {
                    dealt.add(now);
                }
            }
        }
        assertThat(dealt).isNotEmpty();
        double allowed = 1.5 * LIMIT * WINDOW_MILLIS / 1_000 + 5;
        for (long from : dealt) {
            long within = dealt.stream().filter(t -> t >= from && t < from + WINDOW_MILLIS).count();
            assertThat((double) within).isLessThanOrEqualTo(allowed);
        }
    }

    @Test
    public void shareBeginsAnewAfterTheControllerWasBack() {
        FallbackPermits permits = new FallbackPermits("a", () -> true, 0);
        for (long now = 0; now < 20_000; now += REPORT_MILLIS) {
            permits.deal(report(0, now), now);
        }
        permits.recordReply(20_000);
        assertThat(deal(permits, 21_250)).isZero();
    }
}
