package org.cornelway.quota;

import java.util.List;

/**
 * What an entry tells the ledger of its use of customers' quotas. Immutable.
 *
 * @param entry id of the entry
 * @param born start of the entry's process; the amounts count from it
 * @param sharing whether the entry leaves its share of the rates to the ledger
 * @param first whether the entry has had no reply since its start
 * @param ledger ledger that granted what the entry holds, 0 for none
 * @param uses one for each customer that the entry has had calls or tokens of
 * @param sentMillis when the report was taken, on the entry's clock
 */
public record QuotaReport(
        String entry,
        long born,
        boolean sharing,
        boolean first,
        long ledger,
        List<Use> uses,
        long sentMillis) {
    /**
     * The use of one customer's quota. Amounts are in tokens and, unless said otherwise, count from
     * the start of the entry's process, so that a lost or repeated report does no harm. Immutable.
     *
     * @param ceiling tokens granted
     * @param spent tokens spent or returned
     * @param returned tokens returned
     * @param wanted tokens that all calls that wait now lack
     * @param least tokens that the smallest of them lacks
     * @param perSecond recent demand
     * @param callCost usual cost of a call
     */
    public record Use(
            String customer,
            double ceiling,
            double spent,
            double returned,
            double wanted,
            double least,
            double perSecond,
            double callCost) {}

    /** Returns a copy that does not leave the entry's share to the ledger. */
    public QuotaReport withoutShare() {
        return new QuotaReport(entry, born, false, first, ledger, uses, sentMillis);
    }
}
