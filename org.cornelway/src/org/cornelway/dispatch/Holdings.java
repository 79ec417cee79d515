package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.traffic.ModelTarget;

/**
 * Which models and adapters each engine is believed to hold.
 *
 * <p>Three sources, the newest goes first: what an engine itself announced, what the controller
 * told, and what engines answered to calls. A belief that turns out wrong costs one refused call
 * and is corrected by it. Confined to the traffic thread.
 */
public final class Holdings {
    private final Map<ServerIncarnation, Map<String, Set<String>>> mByServer = new HashMap<>();
    private final Map<ServerIncarnation, Map<String, Set<String>>> mAnnounced = new HashMap<>();

    /** Takes over what the engines announced, where that changed; forgets engines that are gone. */
    public void applyAnnouncements(DirectorySnapshot directory) {
        Set<ServerIncarnation> present = new HashSet<>();
        for (ServerRecord server : directory.all().values()) {
            present.add(server.incarnation());
            if (!server.models().equals(mAnnounced.put(server.incarnation(), server.models()))) {
                adopt(server.incarnation(), server.models());
            }
        }
        mAnnounced.keySet().retainAll(present);
        mByServer.keySet().retainAll(present);
    }

    /** An announcement names models but not always adapters, which come and go unannounced. */
    private void adopt(ServerIncarnation life, Map<String, Set<String>> models) {
        Map<String, Set<String>> before = mByServer.getOrDefault(life, Map.of());
        Map<String, Set<String>> after = new HashMap<>();
        models.forEach(
                (model, adapters) -> {
                    Set<String> all = new HashSet<>(adapters);
                    all.addAll(before.getOrDefault(model, Set.of()));
                    after.put(model, all);
                });
        mByServer.put(life, after);
    }

    /** Takes over what the controller told of a server. */
    public void replace(ServerIncarnation life, Map<String, Set<String>> models) {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, new HashSet<>(adapters)));
        mByServer.put(life, copy);
    }

    /** Notes that a server now holds a model or an adapter. */
    public void add(ServerIncarnation life, ModelTarget target) {
        Set<String> adapters =
                mByServer
                        .computeIfAbsent(life, key -> new HashMap<>())
                        .computeIfAbsent(target.model(), key -> new HashSet<>());
        if (target.hasAdapter()) {
            adapters.add(target.adapter());
        }
    }

    /** Notes that a server said that it does not hold a model or an adapter. */
    public void remove(ServerIncarnation life, ModelTarget target) {
        Map<String, Set<String>> models = mByServer.getOrDefault(life, Map.of());
        if (!target.hasAdapter()) {
            models.remove(target.model());
        } else if (models.containsKey(target.model())) {
            models.get(target.model()).remove(target.adapter());
        }
    }

    /** Whether a server is believed to hold a model or an adapter. */
    public boolean holds(ServerIncarnation life, ModelTarget target) {
        return Optional.ofNullable(mByServer.getOrDefault(life, Map.of()).get(target.model()))
                .map(adapters -> !target.hasAdapter() || adapters.contains(target.adapter()))
                .orElse(false);
    }

    /** The servers among some that are believed to hold a model or an adapter. */
    public List<ServerRecord> holders(List<ServerRecord> servers, ModelTarget target) {
        return servers.stream().filter(server -> holds(server.incarnation(), target)).toList();
    }
}
