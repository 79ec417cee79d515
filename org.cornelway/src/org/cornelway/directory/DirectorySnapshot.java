package org.cornelway.directory;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The backend servers known at one moment. Immutable and thread-safe.
 *
 * <p>Contains draining servers too, so that a call in progress at a draining server can be
 * distinguished from one at a server that is gone.
 */
public final class DirectorySnapshot {
    private static final DirectorySnapshot EMPTY = new DirectorySnapshot(Map.of());

    private final Map<String, ServerRecord> mById;
    private final Map<String, List<ServerRecord>> mUsableByService;

    /**
     * @param byId records by server id
     */
    public DirectorySnapshot(Map<String, ServerRecord> byId) {
        mById = Map.copyOf(byId);
        mUsableByService =
                byId.values().stream()
                        .filter(server -> !server.draining())
                        .collect(Collectors.groupingBy(ServerRecord::service));
    }

    /** Returns a snapshot without servers. */
    public static DirectorySnapshot empty() {
        return EMPTY;
    }

    /** Returns the servers of a service that accept new calls; an empty list if there are none. */
    public List<ServerRecord> usable(String service) {
        return mUsableByService.getOrDefault(service, List.of());
    }

    /** Whether a server is still in this incarnation and accepts new calls. */
    public boolean isUsable(ServerIncarnation incarnation) {
        ServerRecord current = mById.get(incarnation.id());
        return current != null && current.incarnation().equals(incarnation) && !current.draining();
    }

    /** Returns the incarnations of all servers, including those that are draining. */
    public Set<ServerIncarnation> incarnations() {
        return mById.values().stream()
                .map(ServerRecord::incarnation)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Finds a server by id, also if it is draining; empty if it is not known. */
    public Optional<ServerRecord> find(String id) {
        return Optional.ofNullable(mById.get(id));
    }

    /** Returns all servers by id, including those that are draining. */
    public Map<String, ServerRecord> all() {
        return mById;
    }
}
