package org.cornelway.directory;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The backend servers known at one moment. Immutable and thread-safe.
 *
 * <p>Holds draining servers too, so that work under way can be told from work for a server that is
 * gone.
 */
public final class DirectorySnapshot {
    private static final DirectorySnapshot EMPTY = new DirectorySnapshot(Map.of());

    private final Map<String, ServerRecord> mById;
    private final Map<String, List<ServerRecord>> mUsable;

    /**
     * @param byId records by server id
     */
    public DirectorySnapshot(Map<String, ServerRecord> byId) {
        mById = Map.copyOf(byId);
        mUsable =
                byId.values().stream()
                        .filter(server -> !server.draining())
                        .collect(Collectors.groupingBy(ServerRecord::service));
    }

    /** A snapshot without servers. */
    public static DirectorySnapshot empty() {
        return EMPTY;
    }

    /** The servers of a service that take new work. */
    public List<ServerRecord> usable(String service) {
        return mUsable.getOrDefault(service, List.of());
    }

    /** Whether a server in this life takes new work. */
    public boolean isUsable(ServerIncarnation life) {
        ServerRecord held = mById.get(life.id());
        return held != null && held.incarnation().equals(life) && !held.draining();
    }

    /** A server by id. */
    public Optional<ServerRecord> find(String id) {
        return Optional.ofNullable(mById.get(id));
    }

    /** All servers by id. */
    public Map<String, ServerRecord> all() {
        return mById;
    }
}
