package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cornelway.directory.ServerRecord;
import org.cornelway.traffic.ReportedLoad;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an entry knows of servers. */
public class ServerLoadsTest {
    private static final long CAPACITY = 10_000;
    private static final int ENTRIES = 4;

    private final ServerRecord mFirst = new ModelledServer("e1", 8, CAPACITY, 1).mRecord;
    private final ServerRecord mSecond = new ModelledServer("e2", 8, CAPACITY, 1).mRecord;
    private ServerLoads mLoads;
    private long mNow;

    @BeforeMethod
    public void setUp() {
        mNow = 10_000;
        mLoads = ModelledView.of(() -> mNow, ENTRIES).mLoads;
    }

    private List<Candidate> candidates() {
        return mLoads.candidates(List.of(mFirst, mSecond), CAPACITY, ENTRIES);
    }

    /** Guards against own calls that a late report hides. */
    @Test
    public void ownCallsSinceTheReportAreAdded() {
        mLoads.recordCallStarted(mFirst.incarnation(), 500);
        mLoads.recordReportedLoad(mFirst, new ReportedLoad(5, 1, 8, 100));
        mLoads.recordCallStarted(mFirst.incarnation(), 500);
        assertThat(candidates().get(0).requests()).isEqualTo(7);
        mLoads.recordCallEnded(mFirst.incarnation(), 500);
        assertThat(candidates().get(0).requests()).isEqualTo(6);
    }

    /** Guards against an engine with a new copy of a model that is taken for as full as others. */
    @Test
    public void engineWithoutOwnCallsIsKnownByTheControllersCount() {
        mLoads.recordReportedLoad(mFirst, new ReportedLoad(8, 8, 8, 100));
        mLoads.recordActiveCalls(Map.of("e2", 0));
        assertThat(candidates().get(1).requests()).isLessThanOrEqualTo(2);
    }

    /** Guards against an engine that overflows by calls of other entries. */
    @Test
    public void tokensIncludeThoseOfOtherEntries() {
        mLoads.recordCallStarted(mFirst.incarnation(), 1_000);
        mLoads.recordReportedLoad(mFirst, new ReportedLoad(4, 0, 8, 100));
        assertThat(candidates().get(0).tokens()).isEqualTo(4_000);
        assertThat(candidates().get(0).memoryLoadWith(1_000)).isEqualTo(0.5);
    }
}
