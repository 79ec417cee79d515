package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.directory.ServerIncarnation;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/** Tests what is remembered of the servers' words about themselves. */
public class ServerNoticesTest {
    private static final ServerIncarnation SERVER = new ServerIncarnation("i", 1);
    private static final ServerIncarnation RESTARTED = new ServerIncarnation("i", 2);

    private final ServerNotices mNotices = new ServerNotices();

    @Test
    public void leavingEndsWithTheIncarnationOnly() {
        assertThat(mNotices.recordLeaving(SERVER)).isTrue();
        assertThat(mNotices.recordLeaving(SERVER)).isFalse();
        mNotices.expire(Long.MAX_VALUE);
        assertThat(mNotices.acceptsCalls(SERVER, 0)).isFalse();
        assertThat(mNotices.acceptsCalls(RESTARTED, 0)).isTrue();
    }

    @Test
    public void latestTimeApplies() {
        ServerNotices notices = new ServerNotices();
        notices.recordPause(SERVER, new Deadline(3_000));
        notices.recordPause(SERVER, new Deadline(2_000));
        assertThat(notices.acceptsCalls(SERVER, 2_500)).isFalse();
        notices.expire(2_500);
        assertThat(notices.pausedUntil(SERVER, 2_500)).contains(new Deadline(3_000));
        assertThat(notices.acceptsCalls(SERVER, 3_001)).isTrue();
        assertThat(notices.acceptsCalls(RESTARTED, 2_500)).isTrue();
    }

    /** Guards against memory that grows with each server that was ever seen leaving. */
    @Test
    public void numberOfLeavingServersIsBounded() {
        ServerNotices notices = new ServerNotices();
        int count = 10_000;
        for (int i = 0; i < count; i++) {
            notices.recordLeaving(new ServerIncarnation("i" + i, 1));
        }
        assertThat(notices.isLeaving(new ServerIncarnation("i0", 1))).isFalse();
        assertThat(notices.isLeaving(new ServerIncarnation("i" + (count - 1), 1))).isTrue();
    }
}
