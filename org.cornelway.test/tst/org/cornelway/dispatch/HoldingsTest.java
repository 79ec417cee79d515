package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerLife;
import org.cornelway.directory.ServerRecord;
import org.cornelway.traffic.ModelTarget;
import org.testng.annotations.Test;

/** Beliefs about what engines hold, and their correction. */
public class HoldingsTest {
    private static final ModelTarget MODEL = new ModelTarget("m", "");
    private static final ModelTarget ADAPTER = new ModelTarget("m", "a1");

    private static ServerRecord record(long born, Map<String, Set<String>> models) {
        return new ServerRecord(
                new ServerLife("e", born),
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
    public void announcementGrantAndRefusalFollowEachOther() {
        Holdings holdings = new Holdings();
        ServerRecord first = record(1, Map.of("m", Set.of()));
        holdings.announced(directory(first));
        assertThat(holdings.holds(first.life(), MODEL)).isTrue();
        assertThat(holdings.holds(first.life(), ADAPTER)).isFalse();
        holdings.granted(first.life(), ADAPTER);
        assertThat(holdings.holds(first.life(), ADAPTER)).isTrue();
        holdings.announced(directory(first));
        assertThat(holdings.holds(first.life(), ADAPTER)).isTrue();
        holdings.denied(first.life(), ADAPTER);
        assertThat(holdings.holds(first.life(), ADAPTER)).isFalse();
        assertThat(holdings.holds(first.life(), MODEL)).isTrue();
    }

    @Test
    public void anotherLifeHoldsNothingOfTheFirst() {
        Holdings holdings = new Holdings();
        ServerRecord first = record(1, Map.of("m", Set.of()));
        holdings.announced(directory(first));
        ServerRecord second = record(2, Map.of());
        holdings.announced(directory(second));
        assertThat(holdings.holds(second.life(), MODEL)).isFalse();
        assertThat(holdings.holds(first.life(), MODEL)).isFalse();
    }
}
