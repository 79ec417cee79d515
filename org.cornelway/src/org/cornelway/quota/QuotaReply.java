package org.cornelway.quota;

import java.util.List;

/**
 * What a ledger replies to an entry's report. Immutable.
 *
 * @param ledger the ledger; another one has granted nothing of what this one did
 * @param entries number of entries that the ledger counts with
 * @param grants one for each customer with a quota
 */
public record QuotaReply(long ledger, int entries, List<Grant> grants) {
    /**
     * The grant of one customer. Immutable.
     *
     * @param ceiling tokens that the entry may have spent or returned since its start
     * @param keep unspent tokens that the entry may keep; it returns the others
     * @param waitMillis time until waiting calls can be served; 0 if they can now
     */
    public record Grant(String customer, double ceiling, double keep, long waitMillis) {}
}
