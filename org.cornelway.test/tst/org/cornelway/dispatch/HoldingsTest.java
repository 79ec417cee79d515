package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.traffic.ModelTarget;
import org.testng.annotations.Test;

/** Tests the record of the models and adapters that engines are expected to hold. */
public class HoldingsTest {
    private static final long NOW_MILLIS = 1_000;
    private static final ModelTarget MODEL = new ModelTarget("m", "");
    private static final ModelTarget ADAPTER = new ModelTarget("m", "a1");

    private static ServerRecord record(long startedMillis, Map<String, Set<String>> models) {
        return new ServerRecord(
                new ServerIncarnation("e", startedMillis),
                "s",
                "127.0.0.1",
                1,
                "z",
                8,
                false,
                1,
                models,
                Set.of(),
                Set.of());
    }

    private static DirectorySnapshot directory(ServerRecord record) {
        return new DirectorySnapshot(Map.of(record.id(), record));
    }

    @Test
    public void addedAdapterIsKeptByRepeatedAnnouncementUntilRemoved() {
        Holdings holdings = new Holdings();
        ServerRecord first = record(1, Map.of("m", Set.of()));
        holdings.applyAnnouncements(directory(first), NOW_MILLIS);
        assertThat(holdings.holds(first.incarnation(), MODEL)).isTrue();
        assertThat(holdings.holds(first.incarnation(), ADAPTER)).isFalse();
        holdings.add(first.incarnation(), ADAPTER);
        assertThat(holdings.holds(first.incarnation(), ADAPTER)).isTrue();
        holdings.applyAnnouncements(directory(first), NOW_MILLIS);
        assertThat(holdings.holds(first.incarnation(), ADAPTER)).isTrue();
        holdings.remove(first.incarnation(), ADAPTER);
        assertThat(holdings.holds(first.incarnation(), ADAPTER)).isFalse();
        assertThat(holdings.holds(first.incarnation(), MODEL)).isTrue();
    }

    @Test
    public void newIncarnationDoesNotInheritModels() {
        Holdings holdings = new Holdings();
        ServerRecord first = record(1, Map.of("m", Set.of()));
        holdings.applyAnnouncements(directory(first), NOW_MILLIS);
        ServerRecord second = record(2, Map.of());
        holdings.applyAnnouncements(directory(second), NOW_MILLIS);
        assertThat(holdings.holds(second.incarnation(), MODEL)).isFalse();
        assertThat(holdings.holds(first.incarnation(), MODEL)).isFalse();
    }

    @Test
    public void reportOfTheControllerGoesBeforeAnnouncementsWhileItReplies() {
        Holdings holdings = new Holdings();
        ServerRecord first = record(1, Map.of("m", Set.of()));
        holdings.applyAnnouncements(directory(first), NOW_MILLIS);
        holdings.recordControllerReply(NOW_MILLIS);
        holdings.replace(first.incarnation(), Map.of("n", Set.of()));
        ServerRecord older = record(1, Map.of("o", Set.of()));
        holdings.applyAnnouncements(directory(older), NOW_MILLIS + 500);
        assertThat(holdings.holds(first.incarnation(), new ModelTarget("n", ""))).isTrue();
        assertThat(holdings.holds(first.incarnation(), new ModelTarget("o", ""))).isFalse();
        holdings.applyAnnouncements(directory(older), NOW_MILLIS + 5_000);
        assertThat(holdings.holds(first.incarnation(), new ModelTarget("o", ""))).isTrue();
    }
}
