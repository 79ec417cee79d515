package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which of two answers tells the limit that is in force. */
public class LimitTableTest {
    private static final ServerIncarnation SERVER = new ServerIncarnation("s", 1);
    private static final ServerIncarnation RESTARTED = new ServerIncarnation("s", 2);
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private LimitTable mTable;

    @BeforeMethod
    public void setUp() {
        mTable = new LimitTable();
    }

    private boolean named(double callsPerSecond, long sentMillis, long receivedMillis) {
        return mTable.record(
                new LimitObservation(
                        SERVER, OptionalDouble.of(callsPerSecond), sentMillis, receivedMillis));
    }

    private boolean none(long sentMillis, long receivedMillis) {
        return mTable.record(new LimitObservation(SERVER, NONE, sentMillis, receivedMillis));
    }

    private OptionalDouble limit() {
        return mTable.callsPerSecond(SERVER);
    }

    @Test
    public void answerWithoutLimitOfServerThatNamedNoneIsNotRemembered() {
        assertThat(none(0, 10)).isFalse();
        assertThat(mTable.isEmpty()).isTrue();
    }

    @Test
    public void answerToLaterCallChangesAndEndsTheLimit() {
        assertThat(named(1.2, 0, 10)).isTrue();
        assertThat(named(3, 10, 20)).isTrue();
        assertThat(limit()).hasValue(3);
        assertThat(named(3, 20, 30)).isFalse();
        assertThat(none(30, 40)).isTrue();
        assertThat(limit()).isEmpty();
    }

    @Test
    public void lateAnswerToEarlierCallNeitherEndsNorRaisesTheLimit() {
        named(1.2, 0, 10);
        assertThat(none(5, 500)).isFalse();
        assertThat(named(9, 5, 500)).isFalse();
        assertThat(limit()).hasValue(1.2);
    }

    @Test
    public void lowerLimitOfOverlappingAnswersHoldsInEitherOrder() {
        named(5, 0, 100);
        assertThat(named(1.2, 50, 120)).isTrue();
        assertThat(limit()).hasValue(1.2);
        assertThat(named(5, 60, 130)).isFalse();
        assertThat(limit()).hasValue(1.2);
    }

    @Test
    public void answerToCallBeforeTheEndOfTheLimitDoesNotBringItBack() {
        named(1.2, 0, 10);
        none(20, 30);
        assertThat(named(1.2, 2, 15)).isFalse();
        assertThat(limit()).isEmpty();
    }

    @Test
    public void overlappingAnswersWithoutLimitEndItOnceTheirCallsAreLater() {
        named(20, 0, 100);
        for (long sent = 90; sent < 100; sent++) {
            assertThat(none(sent, sent + 50)).isFalse();
        }
        assertThat(none(100, 150)).isTrue();
    }

    @Test
    public void newIncarnationStartsWithoutLimit() {
        named(1.2, 0, 10);
        assertThat(mTable.callsPerSecond(RESTARTED)).isEmpty();
    }

    @Test
    public void limitOfUnlistedServerIsKeptForSomeTime() {
        named(1.2, 0, 10);
        mTable.retain(Set.of(), 5_000);
        assertThat(limit()).hasValue(1.2);
        mTable.retain(Set.of(SERVER), 3_600_000);
        assertThat(limit()).hasValue(1.2);
        mTable.retain(Set.of(), 3_600_000);
        assertThat(limit()).isEmpty();
    }
}
