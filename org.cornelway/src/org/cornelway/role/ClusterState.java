package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.cluster.ClusterKeys;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.cluster.StoreFollower;
import org.cornelway.config.Json;
import org.cornelway.directory.ServerDirectory;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValue;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.MemberTable;
import org.cornelway.result.Result;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.time.Clock;
import org.cornelway.traffic.TrafficView;

/**
 * What this process believes of the platform, decoded from the documents it holds.
 *
 * <p>Invariant: the version of the configuration never goes down. Confined to the control thread.
 */
final class ClusterState {
    private final RoutingDecoder mRouting;
    private final ServerRecordDecoder mServers;
    private final DocumentCache mCache;
    private final MemberTable mMembers;
    private final Clock mClock;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final ServerDirectory mDirectory = new ServerDirectory();
    private final Set<String> mMalformed = new HashSet<>();
    private Optional<RouteTable> mRoutes = Optional.empty();

    ClusterState(
            RoutingDecoder routing,
            ServerRecordDecoder servers,
            DocumentCache cache,
            MemberTable members,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {
        mRouting = routing;
        mServers = servers;
        mCache = cache;
        mMembers = members;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    /** Takes over a document; true if the traffic thread must hear of it. */
    boolean apply(KeyValue document) {
        String key = document.key();
        if (key.equals(ClusterKeys.CONFIGURATION)) {
            return configuration(document);
        }
        if (key.startsWith(ClusterKeys.SERVERS_PREFIX)) {
            return server(key.substring(ClusterKeys.SERVERS_PREFIX.length()), document);
        }
        if (key.startsWith(ClusterKeys.MEMBERS_PREFIX)) {
            members();
            return true;
        }
        return false;
    }

    private boolean configuration(KeyValue document) {
        Result<RoutingConfiguration> decoded = mRouting.decode(document.value());
        Optional<RoutingConfiguration> next = decoded.toOptional();
        long held = configurationVersion();
        if (next.isEmpty() || next.get().version() < held) {
            mMetrics.counter("config.refused").inc();
            mLog.write(
                    "config.refused",
                    "revision",
                    document.revision(),
                    "held",
                    held,
                    "reason",
                    decoded.failure().map(f -> f.message()).orElse("older"));
            return false;
        }
        mRoutes = Optional.of(new RouteTable(next.get()));
        mLog.write(
                "config.applied",
                "version",
                next.get().version(),
                "revision",
                document.revision(),
                "routes",
                next.get().routes().size(),
                "before",
                held);
        return true;
    }

    private boolean server(String id, KeyValue document) {
        long now = mClock.nowMillis();
        if (StoreFollower.isTombstone(document)) {
            boolean gone = mDirectory.remove(id, document.revision(), now);
            mLog.write("server.ended", "server", id, "revision", document.revision(), "now", gone);
            return gone;
        }
        Optional<ServerRecord> record = mServers.decode(id, document.value());
        if (record.isEmpty()) {
            if (mMalformed.add(id)) {
                mLog.write(
                        "server.malformed", "key", document.key(), "revision", document.revision());
            }
            return false;
        }
        boolean changed = mDirectory.put(record.get(), document.revision());
        if (changed) {
            mLog.write(
                    "server.known",
                    "server",
                    id,
                    "service",
                    record.get().service(),
                    "address",
                    record.get().address(),
                    "draining",
                    record.get().draining(),
                    "born",
                    record.get().incarnation().startedMillis(),
                    "revision",
                    document.revision());
        }
        return changed;
    }

    private void members() {
        mMembers.update(registered().stream().map(ClusterMember::toMember).toList());
        mLog.write("members.changed", "members", mMembers.all().keySet());
    }

    private List<ClusterMember> registered() {
        return mCache.all().stream()
                .filter(held -> held.key().startsWith(ClusterKeys.MEMBERS_PREFIX))
                .filter(held -> !StoreFollower.isTombstone(held))
                .flatMap(held -> Json.read(held.value(), ClusterMember.class).stream())
                .toList();
    }

    /** Notes that the key-value service stopped serving this process. */
    void storeUnavailable() {
        mDirectory.storeUnavailable();
    }

    /** Notes that the key-value service serves this process again. */
    void storeAvailable() {
        mDirectory.storeAvailable(mClock.nowMillis());
    }

    /** Drops servers whose grace has ended; true if there were any. */
    boolean expireServers() {
        return mDirectory.expire(mClock.nowMillis());
    }

    long configurationVersion() {
        return mRoutes.map(table -> table.configuration().version()).orElse(0L);
    }

    Optional<RouteTable> routes() {
        return mRoutes;
    }

    /** What the traffic thread needs of this. */
    TrafficView trafficView() {
        int members = (int) mMembers.all().values().stream().filter(m -> !m.leaving()).count();
        return new TrafficView(mRoutes, mDirectory.snapshot(), Math.max(1, members));
    }

    /**
     * Place of this process among the members, 0 for the one that started last: in a series of
     * restarts that one will not be stopped again.
     */
    int electionRank(String self) {
        List<String> youngestFirst =
                registered().stream()
                        .sorted(
                                Comparator.comparingLong(ClusterMember::startedMillis)
                                        .reversed()
                                        .thenComparing(ClusterMember::id))
                        .map(ClusterMember::id)
                        .toList();
        int place = youngestFirst.indexOf(self);
        return place < 0 ? youngestFirst.size() : place;
    }
}
