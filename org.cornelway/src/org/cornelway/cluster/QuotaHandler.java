package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.cornelway.quota.EntryCount;
import org.cornelway.quota.QuotaBounds;
import org.cornelway.quota.QuotaLedger;
import org.cornelway.quota.QuotaReport;
import org.cornelway.route.Customer;
import org.cornelway.rpc.QuotaReply;

/**
 * Handles the reports that entries send to the ledger of this process, whether or not this process
 * is the controller: a ledger hands out only what its reporters leave to it. Confined to the
 * control thread.
 */
public final class QuotaHandler {
    private final QuotaLedger mLedger;
    private final EntryCount mEntries;
    private final IntSupplier mMembers;
    private final EntryCountStore mStoredEntries;
    private final Supplier<List<Customer>> mCustomers;
    private final Scheduler mControl;

    /**
     * @param ledgerId identifies the ledger of this process among all
     * @param members returns the number of entries known
     * @param storedEntries the number of entries that the key-value service holds
     * @param customers returns the customers in the configuration in force
     */
    public QuotaHandler(
            long ledgerId,
            QuotaBounds bounds,
            IntSupplier members,
            EntryCountStore storedEntries,
            Supplier<List<Customer>> customers,
            Scheduler control) {
        mLedger = new QuotaLedger(ledgerId, bounds);
        mEntries = new EntryCount(control.now(TimeUnit.MILLISECONDS));
        mMembers = members;
        mStoredEntries = storedEntries;
        mCustomers = customers;
        mControl = control;
    }

    /** Records a report and returns the sender's grants. */
    public QuotaReply handle(org.cornelway.rpc.QuotaReport message) {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        QuotaReport report = QuotaMessages.fromMessage(message);
        mLedger.configure(mCustomers.get());
        mEntries.record(mMembers.getAsInt(), now);
        mEntries.recordStored(mStoredEntries.stored(), now);
        return QuotaMessages.toMessage(mLedger.handle(report, mEntries.get(now), now));
    }
}
