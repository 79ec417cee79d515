package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that an entry sends calls to limited servers only with permits. */
public class ServerLimitsTest {
    private static final ServerIncarnation SERVER = new ServerIncarnation("s", 1);
    private static final Deadline UNTIL = new Deadline(1_000);

    private ServerLimits mLimits;

    @BeforeMethod
    public void setUp() {
        mLimits = new ServerLimits();
        mLimits.record(new LimitObservation(SERVER, OptionalDouble.of(1.2), 0, 10));
    }

    @Test
    public void limitedServerGetsAsManyCallsAsThereArePermits() {
        assertThat(mLimits.allows(SERVER, 20)).isFalse();
        mLimits.addPermits(SERVER, 2, UNTIL);
        assertThat(mLimits.takePermit(SERVER, 20)).contains(UNTIL);
        assertThat(mLimits.takePermit(SERVER, 20)).contains(UNTIL);
        assertThat(mLimits.takePermit(SERVER, 20)).isEmpty();
        assertThat(mLimits.allows(SERVER, 20)).isFalse();
    }

    @Test
    public void permitLapses() {
        mLimits.addPermits(SERVER, 1, UNTIL);
        assertThat(mLimits.allows(SERVER, 1_001)).isFalse();
        assertThat(mLimits.takePermit(SERVER, 1_001)).isEmpty();
    }

    @Test
    public void permitOfCallThatWasNotSentIsUsedByAnother() {
        mLimits.addPermits(SERVER, 1, UNTIL);
        Deadline permit = mLimits.takePermit(SERVER, 20).orElseThrow();
        mLimits.returnPermit(SERVER, permit);
        assertThat(mLimits.takePermit(SERVER, 30)).contains(UNTIL);
    }

    @Test
    public void serverWithoutLimitNeedsNoPermit() {
        ServerIncarnation other = new ServerIncarnation("other", 1);
        assertThat(mLimits.allows(other, 20)).isTrue();
        assertThat(mLimits.takePermit(other, 20)).isEmpty();
        assertThat(mLimits.takeReport(20).wanted()).isEmpty();
    }

    @Test
    public void permitsEndWithTheLimit() {
        mLimits.addPermits(SERVER, 1, UNTIL);
        mLimits.record(new LimitObservation(SERVER, OptionalDouble.empty(), 20, 30));
        assertThat(mLimits.allows(SERVER, 40)).isTrue();
        mLimits.record(new LimitObservation(SERVER, OptionalDouble.of(1), 50, 60));
        assertThat(mLimits.allows(SERVER, 70)).isFalse();
    }

    @Test
    public void reportCountsWantedCallsOnce() {
        mLimits.recordWanted(SERVER);
        mLimits.takePermit(SERVER, 20);
        assertThat(mLimits.takeReport(20).wanted()).containsEntry(SERVER, 2);
        assertThat(mLimits.takeReport(30).wanted()).isEmpty();
        assertThat(mLimits.takeReport(30).limits()).hasSize(1);
    }
}
