package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.platform.wire.OddAnnouncementTest;
import org.testng.annotations.Test;

/** Tests that entries go on following the servers beside announcements that cannot be used. */
public class OddAnnouncementProcessTest extends DirectTestBase {
    private void putOddAnnouncements(DirectFleet fleet) {
        int count = 0;
        for (Object[] odd : OddAnnouncementTest.odd()) {
            byte[] value = ((String) odd[1]).getBytes(StandardCharsets.UTF_8);
            String id = "odd-" + count++ + (count % 2 == 0 ? "" : "\r\nX: y");
            fleet.store().withState(state -> state.put("servers/" + id, value, 0));
        }
        // An entry that can be read, under a key that cannot be sent as an id.
        byte[] usual =
                fleet.backendServer("e1").announcement(DirectFleet.ENGINE_SERVICE, "ready", 1);
        fleet.store().withState(state -> state.put("servers/x\r\ny", usual, 0));
    }

    private void assertChangesAreFollowed() {
        fleet().addServer(DirectFleet.PLAIN_SERVICE, "p3");
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p1", "draining", 2);
        fleet().announce(DirectFleet.PLAIN_SERVICE, "p2", "draining", 2);
        ProcessFleet.await(
                "call at the new server",
                () -> call("/safe/a", "x").status() == OK && executedCalls("p3") > 0);
        assertThat(fleet().entryProcess(0).isAlive()).isTrue();
    }

    /** Guards against an announcement that ends the process or stops it from following servers. */
    @Test
    public void serversAreFollowedBesideOddAnnouncements() {
        putOddAnnouncements(fleet());
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        assertCompleteStream(stream("/stream/a", "m1"));
        assertChangesAreFollowed();
    }

    /** The same for a process that finds the announcements when it starts. */
    @Test
    public void entryStartsBesideOddAnnouncements() {
        putOddAnnouncements(fleet());
        fleet().entryProcess(0).destroyForcibly().onExit().join();
        fleet().startEntry(0);
        fleet().awaitReady(0);
        for (int i = 0; i < 6; i++) {
            assertCompleteStream(stream("/stream/a", "m1"));
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertChangesAreFollowed();
    }
}
