package org.cornelway.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.models.HeldAdapters;
import org.cornelway.rpc.HeldModel;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ServerHoldings;

/**
 * What each engine holds, and in which version that last changed, so that an entry is sent only
 * what has changed since its last report.
 *
 * <p>Invariant: versions increase within a term; a new term starts with no servers, so that an
 * entry of an earlier term is sent all. Confined to the control thread.
 */
final class HoldingsHistory {
    private final Map<ServerIncarnation, Entry> mEntries = new HashMap<>();
    private long mTerm;
    private long mVersion;
    private long mSourceVersion = -1;

    /** What one engine holds, and the version in which that changed last. Immutable. */
    private record Entry(ServerHoldings holdings, long version) {}

    /** Whether the history has been updated from this version of its source in this term. */
    boolean isCurrent(long term, long sourceVersion) {
        return mTerm == term && mSourceVersion == sourceVersion;
    }

    /**
     * Updates the history.
     *
     * @param sourceVersion version of {@code holdings}, by which {@link #isCurrent} finds an update
     *     needless
     * @param holdings the models with their adapters by engine
     */
    void update(
            long term,
            long sourceVersion,
            Map<ServerIncarnation, Map<String, HeldAdapters>> holdings) {
        if (term != mTerm) {
            mEntries.clear();
            mTerm = term;
            mVersion = 0;
        }
        mSourceVersion = sourceVersion;
        mEntries.keySet().retainAll(holdings.keySet());
        long next = mVersion + 1;
        holdings.forEach(
                (incarnation, models) -> {
                    ServerHoldings current = toMessage(incarnation, models);
                    Entry known = mEntries.get(incarnation);
                    if (known == null || !known.holdings().equals(current)) {
                        mEntries.put(incarnation, new Entry(current, next));
                        mVersion = next;
                    }
                });
    }

    private static ServerHoldings toMessage(
            ServerIncarnation incarnation, Map<String, HeldAdapters> models) {
        ServerHoldings.Builder server =
                ServerHoldings.newBuilder()
                        .setServer(incarnation.id())
                        .setBorn(incarnation.startedMillis());
        models.keySet().stream()
                .sorted()
                .forEach(model -> server.addModels(toMessage(model, models.get(model).names())));
        return server.build();
    }

    private static HeldModel toMessage(String model, Set<String> adapters) {
        return HeldModel.newBuilder()
                .setModel(model)
                .addAllAdapters(adapters.stream().sorted().toList())
                .build();
    }

    /**
     * Returns the reply to an entry, with the servers that have changed since the version that the
     * entry knows.
     */
    HoldingsReply replyTo(long knownTerm, long knownVersion) {
        long since = knownTerm == mTerm ? knownVersion : 0;
        List<ServerHoldings> changed = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (entry.version() > since) {
                changed.add(entry.holdings());
            }
        }
        return HoldingsReply.newBuilder()
                .setController(true)
                .setTerm(mTerm)
                .setVersion(mVersion)
                .setChanged(!changed.isEmpty())
                .addAllServers(changed)
                .build();
    }
}
