package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashSet;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the check of deadlines goes on after an unexpected error of one call. */
public class ConnectionSweepTest {
    /** A connection that records what is done to it. */
    private static class RecordedConnection implements ConnectionSweep.Connection {
        int mTicks;
        boolean mAborted;

        @Override
        public void tick() {
            mTicks++;
        }

        @Override
        public boolean isBusy() {
            return !mAborted;
        }

        @Override
        public void abort() {
            mAborted = true;
        }
    }

    /** A connection with a call that cannot go on. */
    private static final class FaultyConnection extends RecordedConnection {
        private final boolean mWithError;

        FaultyConnection(boolean withError) {
            mWithError = withError;
        }

        @Override
        public void tick() {
            if (mWithError) {
                throw new StackOverflowError("an error of one call");
            }
            throw new IllegalStateException("an error of one call");
        }
    }

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{false}, {true}};
    }

    /** Guards against the end of all timeouts after an error of one call. */
    @Test(dataProvider = "kinds")
    public void errorOfOneCallEndsThatCallOnly(boolean withError) {
        MetricRegistry metrics = new MetricRegistry();
        ConnectionSweep sweep = new ConnectionSweep(metrics);
        RecordedConnection before = new RecordedConnection();
        RecordedConnection faulty = new FaultyConnection(withError);
        RecordedConnection after = new RecordedConnection();
        Set<RecordedConnection> all = new LinkedHashSet<>(Set.of(before));
        all.add(faulty);
        all.add(after);
        assertThat(sweep.tickAll(all)).isEqualTo(2);
        assertThat(faulty.mAborted).isTrue();
        assertThat(before.mTicks).isEqualTo(1);
        assertThat(after.mTicks).isEqualTo(1);
        assertThat(after.mAborted).isFalse();
        assertThat(metrics.counter("callers.faults").getCount()).isEqualTo(1);
    }
}
