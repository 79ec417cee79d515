package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.cluster.ClusterKeys;
import org.cornelway.cluster.ClusterMember;
import org.cornelway.cluster.FallbackPermits;
import org.cornelway.cluster.StoreFollower;
import org.cornelway.config.Json;
import org.cornelway.directory.ServerDirectory;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.Member;
import org.cornelway.platform.StoreRevision;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.MemberTable;
import org.cornelway.result.Result;
import org.cornelway.route.Customer;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.time.Clock;
import org.cornelway.traffic.TrafficView;

/**
 * The routing configuration, the backend servers and the registered entries, decoded from the
 * cached documents.
 *
 * <p>Invariant: the version of the configuration never decreases. Confined to the control thread.
 */
final class ClusterState {
    private final RoutingDecoder mRoutingDecoder;
    private final ServerRecordDecoder mServerDecoder;
    private final DocumentCache mCache;
    private final MemberTable mMembers;
    private final Clock mClock;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final ServerDirectory mDirectory = new ServerDirectory();

    /** Ids of servers whose malformed record was logged, so that each id is logged once. */
    private final Set<String> mLoggedMalformedIds = new HashSet<>();

    /** What the last line on each server says. */
    private final Map<String, LoggedServer> mLoggedServers = new HashMap<>();

    /** Incarnations that became known since they were last taken, in that order. */
    private final List<ServerIncarnation> mStartedServers = new ArrayList<>();

    private Optional<RouteTable> mRoutes = Optional.empty();

    /** The document of the configuration in force. */
    private Optional<KeyValue> mConfiguration = Optional.empty();

    /** Ids of the registered members, the first candidate for controller first. */
    private List<String> mCandidates = List.of();

    /** The parts of an announcement that are logged. */
    private record LoggedServer(
            ServerIncarnation incarnation, String service, String address, boolean draining) {}

    ClusterState(
            RoutingDecoder routingDecoder,
            ServerRecordDecoder serverDecoder,
            DocumentCache cache,
            MemberTable members,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {
        mRoutingDecoder = routingDecoder;
        mServerDecoder = serverDecoder;
        mCache = cache;
        mMembers = members;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    /** Applies a document; returns true if the traffic thread needs the new state. */
    boolean apply(KeyValue document) {
        String key = document.key();
        if (key.equals(ClusterKeys.CONFIGURATION)) {
            return applyConfiguration(document);
        }
        if (key.startsWith(ClusterKeys.SERVERS_PREFIX)) {
            return applyServer(key.substring(ClusterKeys.SERVERS_PREFIX.length()), document);
        }
        if (key.startsWith(ClusterKeys.MEMBERS_PREFIX)) {
            updateMembers();
            return true;
        }
        return false;
    }

    private boolean applyConfiguration(KeyValue document) {
        Result<RoutingConfiguration> decoded = mRoutingDecoder.decode(document.value());
        Optional<RoutingConfiguration> next = decoded.toOptional();
        long currentVersion = configurationVersion();
        if (next.isEmpty() || next.get().version() < currentVersion) {
            mMetrics.counter("config.refused").inc();
            mLog.write(
                    "config.refused",
                    "revision",
                    document.revision(),
                    "held",
                    currentVersion,
                    "reason",
                    decoded.failure().map(f -> f.message()).orElse("older"));
            next.ifPresent(older -> keepNewerThan(document));
            return false;
        }
        mConfiguration = Optional.of(document);
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
                currentVersion);
        return true;
    }

    /**
     * Puts the configuration in force behind an older version that a restored service holds, so
     * that a process that starts meanwhile gets it from its peers.
     */
    private void keepNewerThan(KeyValue older) {
        mConfiguration
                .map(KeyValue::value)
                .map(value -> new KeyValue(older.key(), value, following(older)))
                .ifPresent(mCache::offer);
    }

    private static long following(KeyValue document) {
        return StoreRevision.following(document.revision());
    }

    private boolean applyServer(String id, KeyValue document) {
        long now = mClock.nowMillis();
        if (StoreFollower.isTombstone(document)) {
            boolean removed = mDirectory.remove(id, document.revision(), now);
            mLoggedServers.remove(id);
            mLog.write(
                    "server.ended", "server", id, "revision", document.revision(), "now", removed);
            return removed;
        }
        Optional<ServerRecord> record = mServerDecoder.decode(id, document.value());
        if (record.isEmpty()) {
            if (mLoggedMalformedIds.add(id)) {
                mLog.write(
                        "server.malformed", "key", document.key(), "revision", document.revision());
            }
            return false;
        }
        boolean changed = mDirectory.put(record.get(), document.revision());
        if (changed) {
            recordIfNew(record.get(), document.revision());
        }
        return changed;
    }

    /**
     * Logs a server unless its last line says the same, and remembers a new incarnation. What an
     * engine holds changes too often for a line of each entry; the controller logs the orders.
     */
    private void recordIfNew(ServerRecord server, long revision) {
        LoggedServer line =
                new LoggedServer(
                        server.incarnation(),
                        server.service(),
                        server.address(),
                        server.draining());
        LoggedServer before = mLoggedServers.put(server.id(), line);
        if (line.equals(before)) {
            return;
        }
        if (before == null || !before.incarnation().equals(server.incarnation())) {
            mStartedServers.add(server.incarnation());
        }
        mLog.write(
                "server.known",
                "server",
                server.id(),
                "service",
                server.service(),
                "address",
                server.address(),
                "draining",
                server.draining(),
                "born",
                server.incarnation().startedMillis(),
                "revision",
                revision);
    }

    /**
     * Returns the incarnations of servers that have become known since the last call, also those
     * that later ones have replaced.
     */
    List<ServerIncarnation> takeStartedServers() {
        List<ServerIncarnation> started = List.copyOf(mStartedServers);
        mStartedServers.clear();
        return started;
    }

    private void updateMembers() {
        List<ClusterMember> registrations = registrations();
        mMembers.update(registrations.stream().map(ClusterMember::toMember).toList());
        mCandidates =
                registrations.stream()
                        .sorted(
                                Comparator.comparingDouble(ClusterMember::processorCores)
                                        .thenComparingLong(ClusterMember::startedMillis)
                                        .reversed()
                                        .thenComparing(ClusterMember::id))
                        .map(ClusterMember::id)
                        .toList();
        mLog.write("members.changed", "members", registrations.size());
    }

    /** Returns the registered members; skips registrations that cannot be decoded. */
    private List<ClusterMember> registrations() {
        return mCache.all().stream()
                .filter(document -> document.key().startsWith(ClusterKeys.MEMBERS_PREFIX))
                .filter(document -> !StoreFollower.isTombstone(document))
                .flatMap(document -> Json.read(document.value(), ClusterMember.class).stream())
                .toList();
    }

    /** Called when the key-value service has become unavailable to this process. */
    void onStoreUnavailable() {
        mDirectory.onStoreUnavailable();
    }

    /**
     * Called when the key-value service was restored from a copy. Servers that are missing there
     * are kept until they have had time to register again, as after an outage.
     */
    void onStoreRestored() {
        mDirectory.onStoreUnavailable();
        mDirectory.onStoreAvailable(mClock.nowMillis());
    }

    /** Called when the key-value service is available to this process again. */
    void onStoreAvailable() {
        mDirectory.onStoreAvailable(mClock.nowMillis());
    }

    /**
     * Removes the servers whose announcement was deleted and whose grace period for registering
     * again has ended; returns true if there were any.
     */
    boolean expireServers() {
        return mDirectory.expire(mClock.nowMillis());
    }

    /** Returns the version of the configuration, 0 if there is none. */
    long configurationVersion() {
        return mRoutes.map(table -> table.configuration().version()).orElse(0L);
    }

    /** Returns the routes of the configuration, or empty if there is none. */
    Optional<RouteTable> routes() {
        return mRoutes;
    }

    /** Returns the customers in the configuration; empty if there are none. */
    List<Customer> customers() {
        return mRoutes.map(table -> table.configuration().customers()).orElse(List.of());
    }

    /** Returns the registered members, the first candidate for controller first. */
    List<Member> membersByRank() {
        return mCandidates.stream().flatMap(id -> mMembers.find(id).stream()).toList();
    }

    /** Returns the part of the state that the traffic thread needs. */
    TrafficView trafficView() {
        int memberCount = (int) mMembers.all().values().stream().filter(m -> !m.leaving()).count();
        return new TrafficView(mRoutes, mDirectory.snapshot(), Math.max(1, memberCount));
    }

    /** Whether this process shares the rate of limited servers while there is no controller. */
    boolean isPermitSharer() {
        return mMembers.isSelfSelected("permits", FallbackPermits.SHARERS, Optional.empty());
    }

    /**
     * Returns the position of this process among the candidates for controller, 0 first. Processes
     * on the instances with most processor time come first, and among these the process that
     * started last, because it will not be stopped again in a rolling restart. A process that is
     * not registered comes after all others.
     */
    int electionRank(String selfId) {
        int rank = mCandidates.indexOf(selfId);
        return rank < 0 ? mCandidates.size() : rank;
    }
}
