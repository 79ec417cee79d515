package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

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
}
