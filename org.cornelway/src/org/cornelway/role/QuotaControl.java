package org.cornelway.role;

import java.util.Random;
import java.util.function.IntSupplier;
import org.cornelway.cluster.Election;
import org.cornelway.cluster.EntryCountStore;
import org.cornelway.cluster.QuotaExchange;
import org.cornelway.cluster.QuotaHandler;
import org.cornelway.quota.QuotaTargets;

/**
 * The parts of the control plane that keep customers to their quotas. Confined to the control
 * thread.
 */
final class QuotaControl {
    private final ControlPlane.Dependencies mDeps;
    private final EntryCountStore mEntryCountStore;
    private final QuotaHandler mHandler;
    private final QuotaExchange mExchange;

    /** Number of entries that the traffic thread was told last. */
    private int mStoredEntries;

    QuotaControl(ControlPlane.Dependencies deps, Election election) {
        mDeps = deps;
        IntSupplier members = () -> deps.traffic().view().entryCount();
        mEntryCountStore =
                new EntryCountStore(deps.store().keys(), deps.cache(), members, deps.control());
        mHandler =
                new QuotaHandler(
                        new Random().nextLong(),
                        deps.quotaBounds(),
                        members,
                        mEntryCountStore,
                        deps.clusterState()::customers,
                        deps.control());
        String self = deps.self().id();
        mExchange =
                new QuotaExchange(
                        self,
                        deps.self().zone(),
                        election,
                        mHandler,
                        deps.controllerClient(),
                        deps.clusterState()::membersByRank,
                        new QuotaTargets(deps.quotaBounds().windowMillis()),
                        deps.control(),
                        deps.log(),
                        deps.traffic());
        deps.traffic().startQuotas(self, deps.quotaBounds(), mExchange);
    }

    QuotaHandler handler() {
        return mHandler;
    }

    QuotaExchange exchange() {
        return mExchange;
    }

    /** Keeps the number of entries while a customer has a quota; called periodically. */
    void step(boolean isController) {
        if (mDeps.clusterState().customers().stream().noneMatch(c -> c.quota().isLimited())) {
            return;
        }
        if (isController) {
            mEntryCountStore.writeIfChanged();
        }
        int stored = mEntryCountStore.stored();
        if (stored != mStoredEntries) {
            mStoredEntries = stored;
            mDeps.traffic().setStoredEntries(stored);
        }
    }
}
