package org.cornelway.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.dispatch.LimitTable;
import org.cornelway.dispatch.PermitLedger;
import org.cornelway.models.EngineLimits;

/**
 * Merges what entries know of the limits of servers, and deals the permits for calls to these
 * servers out to the entries. Confined to the control thread.
 */
public final class LimitDistributor implements EngineLimits {
    private final LimitTable mTable = new LimitTable();
    private final PermitLedger mLedger = new PermitLedger();

    /** Adds what an entry knows. */
    void merge(List<LimitObservation> limits) {
        limits.forEach(mTable::record);
    }

    /** Returns all limits that are known, and those that have ended. */
    List<LimitObservation> limits() {
        return mTable.all();
    }

    /**
     * Returns the permits that an entry gets, by server.
     *
     * @param wanted number of its calls that wanted each server since its last report
     * @param share share of the limits that is dealt out, 0 to 1
     */
    Map<ServerIncarnation, Integer> deal(
            String entry, Map<ServerIncarnation, Integer> wanted, double share, long nowMillis) {
        Map<ServerIncarnation, Integer> permits = new HashMap<>();
        for (LimitObservation limit : mTable.all()) {
            OptionalDouble rate = limit.callsPerSecond();
            if (rate.isEmpty()) {
                continue;
            }
            int calls = wanted.getOrDefault(limit.server(), 0);
            int dealt =
                    mLedger.deal(
                            limit.server(), entry, calls, rate.getAsDouble() * share, nowMillis);
            if (dealt > 0) {
                permits.put(limit.server(), dealt);
            }
        }
        return permits;
    }

    /** Discards what is known of servers that are not in the set. */
    public void retain(Set<ServerIncarnation> servers, long nowMillis) {
        mTable.retain(servers, nowMillis);
        mLedger.retain(servers);
    }

    @Override
    public boolean isLimited(ServerIncarnation engine) {
        return mTable.callsPerSecond(engine).isPresent();
    }

    @Override
    public boolean hasPermit(ServerIncarnation engine, long nowMillis) {
        OptionalDouble rate = mTable.callsPerSecond(engine);
        return rate.isEmpty() || mLedger.hasPermit(engine, rate.getAsDouble(), nowMillis);
    }
}
