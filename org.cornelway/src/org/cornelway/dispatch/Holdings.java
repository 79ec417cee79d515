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
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;

/**
 * Records which models and adapters each engine is expected to hold.
 *
 * <p>There are three sources: what an engine itself announces, what the controller reports, and how
 * engines respond to calls. An announcement replaces the known models of its engine, but the known
 * adapters of the announced models are kept; a report of the controller replaces both, and goes
 * before the announcements while the controller replies. A wrong record costs one refused call,
 * which corrects it. Confined to the traffic thread.
 */
public final class Holdings {
    /** The adapters that each engine is expected to hold, by model. */
    private final Map<ServerIncarnation, Map<String, Set<String>>> mByServer = new HashMap<>();

    /** Time for which a reply of the controller shows that its reports still hold. */
    private static final long REPLY_VALID_MILLIS = 1_000;

    /** Engines that the controller has reported. */
    private final Set<ServerIncarnation> mReported = new HashSet<>();

    /** Until when the reports of the controller count as current. */
    private Deadline mReportsCurrentUntil = new Deadline(0);

    /** The adapters in the last announcement of each engine, by model. */
    private final Map<ServerIncarnation, Map<String, Set<String>>> mAnnounced = new HashMap<>();

    /**
     * Applies each announcement that differs from the previous one of its engine, and removes the
     * engines that are gone. While the controller replies, the announcements of the engines that it
     * has reported are left out, since they are older.
     */
    public void applyAnnouncements(DirectorySnapshot directory, long nowMillis) {
        boolean controllerReplies = !mReportsCurrentUntil.isPast(nowMillis);
        Set<ServerIncarnation> present = new HashSet<>();
        for (ServerRecord server : directory.all().values()) {
            present.add(server.incarnation());
            if (controllerReplies && mReported.contains(server.incarnation())) {
                continue;
            }
            if (!server.models().equals(mAnnounced.put(server.incarnation(), server.models()))) {
                mergeAnnouncement(server.incarnation(), server.models());
            }
        }
        mAnnounced.keySet().retainAll(present);
        mByServer.keySet().retainAll(present);
        mReported.retainAll(present);
    }

    /**
     * Merges an announcement into the record of its engine. Models that are not announced are
     * removed. Adapters are loaded and unloaded without an announcement, so the known adapters of
     * the announced models are kept.
     */
    private void mergeAnnouncement(ServerIncarnation incarnation, Map<String, Set<String>> models) {
        Map<String, Set<String>> previous = mByServer.getOrDefault(incarnation, Map.of());
        Map<String, Set<String>> merged = new HashMap<>();
        models.forEach(
                (model, adapters) -> {
                    Set<String> mergedAdapters = new HashSet<>(adapters);
                    mergedAdapters.addAll(previous.getOrDefault(model, Set.of()));
                    merged.put(model, mergedAdapters);
                });
        mByServer.put(incarnation, merged);
    }

    /** Records that the controller has replied; what it has reported before still holds. */
    public void recordControllerReply(long nowMillis) {
        mReportsCurrentUntil = Deadline.after(nowMillis, REPLY_VALID_MILLIS);
    }

    /**
     * Replaces the record of a server with the models and adapters that the controller reports.
     *
     * @param models the held adapters by model
     */
    public void replace(ServerIncarnation incarnation, Map<String, Set<String>> models) {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, new HashSet<>(adapters)));
        mByServer.put(incarnation, copy);
        mReported.add(incarnation);
    }

    /** Records that a server holds a model or an adapter. */
    public void add(ServerIncarnation incarnation, ModelTarget target) {
        Set<String> adapters =
                mByServer
                        .computeIfAbsent(incarnation, key -> new HashMap<>())
                        .computeIfAbsent(target.model(), key -> new HashSet<>());
        if (target.hasAdapter()) {
            adapters.add(target.adapter());
        }
    }

    /** Records that a server does not hold a model or an adapter. */
    public void remove(ServerIncarnation incarnation, ModelTarget target) {
        Map<String, Set<String>> models = mByServer.getOrDefault(incarnation, Map.of());
        if (!target.hasAdapter()) {
            models.remove(target.model());
        } else if (models.containsKey(target.model())) {
            models.get(target.model()).remove(target.adapter());
        }
    }

    /** Whether a server is expected to hold a model or an adapter. */
    public boolean holds(ServerIncarnation incarnation, ModelTarget target) {
        return Optional.ofNullable(
                        mByServer.getOrDefault(incarnation, Map.of()).get(target.model()))
                .map(adapters -> !target.hasAdapter() || adapters.contains(target.adapter()))
                .orElse(false);
    }

    /** Returns those of the given servers that are expected to hold a model or an adapter. */
    public List<ServerRecord> holders(List<ServerRecord> servers, ModelTarget target) {
        return servers.stream().filter(server -> holds(server.incarnation(), target)).toList();
    }
}
