package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which servers count as slow. */
public class SlowServersTest {
    private static final String SERVICE = "s";
    private static final int SERVERS = 5;
    private static final long TOKEN_MILLIS = 20;

    private final List<String> mEvents = new ArrayList<>();
    private SlowServers mSlow;
    private long mNow;

    @BeforeMethod
    public void setUp() {
        mEvents.clear();
        mNow = 1_000;
        mSlow =
                new SlowServers(
                        new SlowServers.Listener() {
                            @Override
                            public void onSlow(ServerIncarnation server, double factor) {
                                mEvents.add("slow " + server.id());
                            }

                            @Override
                            public void onNormal(ServerIncarnation server) {
                                mEvents.add("normal " + server.id());
                            }
                        });
        for (int i = 0; i < SERVERS; i++) {
            mSlow.add(server(i), SERVICE);
        }
    }

    private static ServerIncarnation server(int index) {
        return new ServerIncarnation("s" + index, 1);
    }

    /** Records the events of two streams on each server, of which the first ones are slow. */
    private void stream(long millis, int slowServers, double slowness) {
        for (long end = mNow + millis; mNow < end; mNow += 10) {
            for (int i = 0; i < SERVERS; i++) {
                long gap = Math.round(TOKEN_MILLIS * (i < slowServers ? slowness : 1));
                if (mNow % gap < 10) {
                    record(i, gap);
                    record(i, gap);
                }
            }
            mSlow.compare(mNow);
        }
    }

    private void record(int server, long gap) {
        mSlow.recordWork(server(server), SERVICE, "m", gap, 1, SlowServers.EVENT_WEIGHT, mNow);
    }

    @Test
    public void serverWithSlowStreamsIsSlowUntilItsEventsAreFastAgain() {
        stream(1_000, 0, 1);
        assertThat(mSlow.slowCount()).isZero();
        stream(300, 1, 2.5);
        assertThat(mSlow.isSlow(server(0))).isTrue();
        assertThat(mSlow.slowCount()).isEqualTo(1);
        assertThat(mSlow.factor(server(0))).isGreaterThan(1.5);
        stream(300, 0, 1);
        assertThat(mSlow.isSlow(server(0))).isFalse();
        assertThat(mEvents).containsExactly("slow s0", "normal s0");
    }

    /** Guards against servers that are left out although no other one is faster. */
    @Test
    public void noServerIsSlowIfAllAre() {
        stream(1_000, 0, 1);
        stream(500, SERVERS, 2.5);
        assertThat(mEvents).isEmpty();
    }

    /** Guards against a server that is avoided for ever since no call shows its recovery. */
    @Test
    public void slowServerWithoutCallsIsNormalAfterSomeTime() {
        stream(1_000, 0, 1);
        stream(300, 1, 2.5);
        mNow += 600;
        mSlow.compare(mNow);
        assertThat(mSlow.isSlow(server(0))).isFalse();
    }

    @Test
    public void freshReportCountsAndOldOneDoesNot() {
        mSlow.recordReport(server(0), SERVICE, 2.5, mNow);
        mSlow.compare(mNow);
        assertThat(mSlow.isSlow(server(0))).isTrue();
        mNow += 600;
        mSlow.compare(mNow);
        assertThat(mSlow.isSlow(server(0))).isFalse();
    }

    /** Guards against a server that is avoided because of one long call. */
    @Test
    public void oneLongCallDoesNotMakeServerSlowThatReportsUsualSpeed() {
        for (int i = 0; i < 50; i++) {
            recordCall(i % SERVERS, 70);
        }
        mNow += 1_000;
        mSlow.recordReport(server(0), SERVICE, 1, mNow);
        recordCall(0, 210);
        mSlow.compare(mNow);
        assertThat(mSlow.isSlow(server(0))).isFalse();
    }

    @Test
    public void severalLongCallsMakeServerSlow() {
        for (int i = 0; i < 50; i++) {
            recordCall(i % SERVERS, 70);
        }
        mNow += 1_000;
        recordCall(0, 175);
        recordCall(0, 175);
        mSlow.compare(mNow);
        assertThat(mSlow.isSlow(server(0))).isTrue();
    }

    private void recordCall(int server, long millis) {
        mSlow.recordWork(server(server), SERVICE, "r", millis, 1, SlowServers.CALL_WEIGHT, mNow);
    }

    /** Guards against a count of slow servers that includes servers which are gone. */
    @Test
    public void serverThatIsGoneIsNotCounted() {
        mSlow.recordReport(server(0), SERVICE, 2.5, mNow);
        mSlow.compare(mNow);
        mSlow.retain(Set.of(server(1)));
        assertThat(mSlow.slowCount()).isZero();
    }
}
