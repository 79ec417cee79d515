package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.cornelway.route.CallKind;
import org.testng.annotations.Test;

/** Tests which of two attempts ends if neither server goes on. */
public class HedgePolicyTest {
    private static final long SHORT_PAUSE_MILLIS = 1_300;
    private static final long LONG_PAUSE_MILLIS = 1_500;

    /** Guards against a stream that is taken from an engine which only pauses. */
    @Test
    public void streamStaysAtServerThatIsSilentForAllCallsForMoment() {
        assertThat(HedgePolicy.endsSilentAttempt(CallKind.STREAM, SHORT_PAUSE_MILLIS, false))
                .isFalse();
    }

    @Test
    public void streamLeavesServerThatWorksOnOtherCalls() {
        assertThat(HedgePolicy.endsSilentAttempt(CallKind.STREAM, SHORT_PAUSE_MILLIS, true))
                .isTrue();
    }

    @Test
    public void streamLeavesServerThatIsSilentForLong() {
        assertThat(HedgePolicy.endsSilentAttempt(CallKind.STREAM, LONG_PAUSE_MILLIS, false))
                .isTrue();
    }

    @Test
    public void otherCallLeavesSilentServer() {
        assertThat(HedgePolicy.endsSilentAttempt(CallKind.SAFE, 1, false)).isTrue();
    }

    @Test
    public void twoServersWorkOnStreamForBoundedTimeWhateverTheSilence() {
        assertThat(HedgePolicy.remainingMillis(CallKind.STREAM, LONG_PAUSE_MILLIS, 50))
                .isEqualTo(HedgePolicy.MAX_HEDGE_MILLIS - 50);
    }

    /** Guards against a late answer that is given up for a server which has shown nothing. */
    @Test
    public void otherCallStaysAtBothServersUntilSilenceIsLong() {
        assertThat(HedgePolicy.remainingMillis(CallKind.SAFE, SHORT_PAUSE_MILLIS, 400))
                .isPositive();
        assertThat(HedgePolicy.remainingMillis(CallKind.SAFE, LONG_PAUSE_MILLIS, 400)).isZero();
    }

    /** Guards against two servers that work on a stream until a late thread ends one of them. */
    @Test
    public void onlyOtherCallsAreHedgedByLateThread() {
        assertThat(HedgePolicy.canHedge(CallKind.STREAM, 0)).isTrue();
        assertThat(HedgePolicy.canHedge(CallKind.STREAM, 100)).isFalse();
        assertThat(HedgePolicy.canHedge(CallKind.SAFE, 100)).isTrue();
    }

    @Test
    public void serverIsLeftOnlyAfterLongSilence() {
        assertThat(HedgePolicy.isLeft(SHORT_PAUSE_MILLIS)).isFalse();
        assertThat(HedgePolicy.isLeft(LONG_PAUSE_MILLIS)).isTrue();
    }

    private static boolean isDue(CallKind kind, boolean slow, long silentMillis, long remaining) {
        return HedgePolicy.isDueBeforeObjective(
                kind, slow, silentMillis, OptionalLong.of(100), remaining);
    }

    /** Guards against hedges of calls that may still be answered in time. */
    @Test
    public void callIsHedgedOnlyWhenSecondServerCouldNotAnswerInTimeLater() {
        assertThat(isDue(CallKind.SAFE, true, 100, 150)).isTrue();
        assertThat(isDue(CallKind.SAFE, true, 100, 151)).isFalse();
        assertThat(isDue(CallKind.SAFE, true, 99, 50)).isFalse();
        assertThat(isDue(CallKind.STREAM, true, 100, 150)).isTrue();
    }

    /** Guards against hedges of streams whose prompt is only long. */
    @Test
    public void callAtServerThatIsNotSlowIsHedgedLaterOrNotAtAll() {
        assertThat(isDue(CallKind.SAFE, false, 199, 50)).isFalse();
        assertThat(isDue(CallKind.SAFE, false, 200, 50)).isTrue();
        assertThat(isDue(CallKind.STREAM, false, 1_000, -500)).isFalse();
    }

    @Test
    public void callIsNotHedgedBeforeTimesAreKnown() {
        assertThat(
                        HedgePolicy.isDueBeforeObjective(
                                CallKind.SAFE, true, 1_000, OptionalLong.empty(), -500))
                .isFalse();
    }
}
