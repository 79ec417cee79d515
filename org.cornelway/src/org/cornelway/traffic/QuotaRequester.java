package org.cornelway.traffic;

import org.cornelway.quota.QuotaReport;

/**
 * Asks the ledger for tokens of customers' quotas at once, beside the periodic reports. Called on
 * the traffic thread; the answer goes to {@link TrafficPlane#onQuotaReply}, and {@link
 * TrafficPlane#onQuotaAskEnded} is called then or after a failure.
 */
@FunctionalInterface
public interface QuotaRequester {
    /** Sends a report. The next one is not sent before this one is answered or has failed. */
    void ask(QuotaReport report);
}
