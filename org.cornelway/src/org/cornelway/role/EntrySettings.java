package org.cornelway.role;

/**
 * Validated settings of an entry that calls agents. Immutable.
 *
 * @param common settings that entries and agents have in common
 * @param operatorToken token of the administration API
 * @param maxOpenRequests maximum number of requests that the entry has open at the same time
 * @param defaultDeadlineMillis deadline of a request without one of its own, counted from its
 *     arrival
 * @param maxDeadlineMillis latest deadline allowed, counted from the arrival of the request
 * @param intentShards number of shards of the intent log; must be the same in all processes
 * @param retryShare average number of retries allowed per request
 */
public record EntrySettings(
        CommonSettings common,
        String operatorToken,
        int maxOpenRequests,
        long defaultDeadlineMillis,
        long maxDeadlineMillis,
        int intentShards,
        double retryShare) {}
