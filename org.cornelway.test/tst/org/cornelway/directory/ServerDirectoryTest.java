package org.cornelway.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cornelway.platform.StoreRevision;
import org.testng.annotations.Test;

/** Tests restarts and draining of servers, and outages of the key-value service. */
public class ServerDirectoryTest {
    private static final long GRACE_MILLIS = ServerDirectory.REREGISTRATION_GRACE_MILLIS;

    private static ServerRecord record(
            String id, long startedMillis, long heartbeatSequence, boolean draining) {
        return new ServerRecord(
                new ServerIncarnation(id, startedMillis),
                "s",
                "127.0.0.1",
                1,
                "z",
                1,
                draining,
                heartbeatSequence,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private static boolean isUsable(ServerDirectory directory, String id) {
        return directory.snapshot().usable("s").stream().anyMatch(s -> s.id().equals(id));
    }

    @Test
    public void olderAnnouncementAndIncarnationAreIgnored() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("a", 10, 5, true), 1);
        assertThat(directory.put(record("a", 10, 4, false), 2)).isFalse();
        assertThat(directory.put(record("a", 9, 9, false), 3)).isFalse();
        assertThat(isUsable(directory, "a")).isFalse();
        assertThat(directory.put(record("a", 11, 1, false), 4)).isTrue();
        assertThat(isUsable(directory, "a")).isTrue();
    }

    @Test
    public void deletedServerIsRemovedAtOnceWhileStoreIsAvailable() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("a", 1, 1, false), 1);
        assertThat(directory.remove("a", 2, 100_000)).isTrue();
        assertThat(directory.snapshot().all()).isEmpty();
    }

    @Test
    public void serverDeletedJustAfterOutageIsKeptForGracePeriod() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("back", 1, 1, false), 1);
        directory.put(record("gone", 1, 1, false), 2);
        directory.onStoreUnavailable();
        directory.onStoreAvailable(10_000);
        assertThat(directory.remove("back", 3, 10_010)).isFalse();
        assertThat(directory.remove("gone", 4, 10_010)).isFalse();
        assertThat(isUsable(directory, "gone")).isTrue();
        directory.put(record("back", 1, 2, false), 5);
        assertThat(directory.expire(10_000 + GRACE_MILLIS - 1)).isFalse();
        assertThat(directory.expire(10_000 + GRACE_MILLIS)).isTrue();
        assertThat(isUsable(directory, "back")).isTrue();
        assertThat(isUsable(directory, "gone")).isFalse();
    }

    @Test
    public void listingRemovesMissingServers() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("a", 1, 1, false), 1);
        directory.put(record("b", 1, 1, false), 2);
        directory.retain(Set.of("a"), 3, 100_000);
        assertThat(directory.snapshot().all()).containsOnlyKeys("a");
    }

    @Test
    public void drainingPersistsWithinIncarnation() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            ServerDirectory directory = new ServerDirectory();
            long drainedIncarnation = -1;
            long newestIncarnation = -1;
            long revision = 0;
            for (int i = 0; i < 60; i++) {
                long startedMillis = random.nextInt(4);
                boolean draining = random.nextInt(6) == 0;
                ServerRecord record = record("a", startedMillis, random.nextInt(20), draining);
                boolean changed = directory.put(record, ++revision);
                newestIncarnation = Math.max(newestIncarnation, startedMillis);
                if (changed && draining) {
                    drainedIncarnation = startedMillis;
                }
                ServerRecord current = directory.snapshot().find("a").orElseThrow();
                assertThat(current.incarnation().startedMillis())
                        .as("seed " + seed)
                        .isEqualTo(newestIncarnation);
                if (drainedIncarnation == newestIncarnation) {
                    assertThat(current.draining()).as("seed " + seed).isTrue();
                }
            }
        }
    }

    /** Guards against calls to a server that left before the store came back from a copy. */
    @Test
    public void announcementOfRemovedServerInRestoredStoreIsIgnored() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("left", 1, 5, false), StoreRevision.of(1, 10));
        directory.remove("left", StoreRevision.of(1, 20), 100_000);
        assertThat(directory.put(record("left", 1, 5, false), StoreRevision.of(2, 10))).isFalse();
        assertThat(directory.put(record("left", 1, 4, false), StoreRevision.of(2, 11))).isFalse();
        assertThat(directory.snapshot().all()).isEmpty();
        assertThat(directory.put(record("left", 1, 6, false), StoreRevision.of(2, 12))).isTrue();
        assertThat(isUsable(directory, "left")).isTrue();
    }

    @Test
    public void removedServerThatStartsAgainAfterRestoreIsUsed() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("again", 1, 5, false), StoreRevision.of(1, 10));
        directory.remove("again", StoreRevision.of(1, 20), 100_000);
        assertThat(directory.put(record("again", 2, 1, false), StoreRevision.of(2, 12))).isTrue();
    }

    @Test
    public void removedServerIsUsedAgainWithoutRestore() {
        ServerDirectory directory = new ServerDirectory();
        directory.put(record("back", 1, 5, false), StoreRevision.of(1, 10));
        directory.remove("back", StoreRevision.of(1, 20), 100_000);
        assertThat(directory.put(record("back", 1, 5, false), StoreRevision.of(1, 30))).isTrue();
    }
}
