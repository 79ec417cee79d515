package org.cornelway.role;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.cluster.ClusterKeys;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.config.Json;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.KeyValue;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.MemberTable;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the election ranks of registered entries and the handling of a malformed configuration. */
public class ClusterStateTest {
    private MetricRegistry mMetrics;
    private DocumentCache mCache;
    private ClusterState mClusterState;

    @BeforeMethod
    public void setUp() {
        mMetrics = new MetricRegistry();
        mCache = new DocumentCache(Invariants.strict(), new MetricRegistry());
        mClusterState =
                new ClusterState(
                        value -> Result.failed(ResultCode.BAD_REQUEST, "none"),
                        ClusterStateTest::decode,
                        mCache,
                        new MemberTable("b"),
                        () -> 0,
                        new EventLog(() -> 0, mMetrics),
                        mMetrics);
    }

    /** Reads a server that holds one model; its value is the name, with a mark while it drains. */
    private static Optional<ServerRecord> decode(String id, byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        return Optional.of(
                new ServerRecord(
                        new ServerIncarnation(id, 1),
                        "s",
                        "127.0.0.1",
                        1,
                        "z",
                        8,
                        text.endsWith("!"),
                        1,
                        Map.of(text, Set.of()),
                        Set.of(),
                        Set.of()));
    }

    private void announce(String value, long revision) {
        KeyValue document =
                new KeyValue(
                        ClusterKeys.SERVERS_PREFIX + "i-1",
                        value.getBytes(StandardCharsets.UTF_8),
                        revision);
        assertThat(mClusterState.apply(document)).isTrue();
    }

    @Test
    public void serverIsLoggedOnlyWhenMoreThanItsModelsChange() {
        announce("m1", 1);
        announce("m2", 2);
        announce("m3", 3);
        assertThat(mMetrics.counter("events.server.known").getCount()).isEqualTo(1);
        announce("m3!", 4);
        assertThat(mMetrics.counter("events.server.known").getCount()).isEqualTo(2);
    }

    private void register(String id, long startedMillis, long revision) {
        register(id, startedMillis, 1, revision);
    }

    private void register(String id, long startedMillis, double processorCores, long revision) {
        ClusterMember member =
                new ClusterMember(id, "h:1", "r", "z", startedMillis, processorCores);
        KeyValue document =
                new KeyValue(ClusterKeys.MEMBERS_PREFIX + id, Json.write(member), revision);
        mCache.offer(document);
        mClusterState.apply(document);
    }

    @Test
    public void entryThatStartedLastRanksFirst() {
        register("a", 100, 1);
        register("b", 300, 2);
        register("c", 200, 3);
        assertThat(mClusterState.electionRank("b")).isZero();
        assertThat(mClusterState.electionRank("c")).isEqualTo(1);
        assertThat(mClusterState.electionRank("a")).isEqualTo(2);
        register("a", 400, 4);
        assertThat(mClusterState.electionRank("a")).isZero();
        assertThat(mClusterState.electionRank("unknown")).isEqualTo(3);
    }

    @Test
    public void entryWithMostProcessorTimeRanksBeforeLaterStarts() {
        register("small", 900, 0.27, 1);
        register("large-1", 100, 1.5, 2);
        register("large-2", 300, 1.5, 3);
        assertThat(mClusterState.electionRank("large-2")).isZero();
        assertThat(mClusterState.electionRank("large-1")).isEqualTo(1);
        assertThat(mClusterState.electionRank("small")).isEqualTo(2);
    }

    @Test
    public void malformedConfigurationIsIgnored() {
        KeyValue document = new KeyValue(ClusterKeys.CONFIGURATION, new byte[] {1}, 1);
        assertThat(mClusterState.apply(document)).isFalse();
        assertThat(mClusterState.configurationVersion()).isZero();
    }
}
