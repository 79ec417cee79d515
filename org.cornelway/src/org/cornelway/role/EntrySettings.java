package org.cornelway.role;

/**
 * Settings of an entry, checked. Immutable.
 *
 * @param common settings of every role
 * @param operatorToken token of the administration API
 * @param maxOpen requests that may be open at once
 * @param defaultDeadlineMillis deadline of a request that names none, from its arrival
 * @param maxDeadlineMillis longest deadline, from a request's arrival
 * @param intentShards shards of the intent log; the same in all processes
 * @param retryShare work sent again for each request
 */
public record EntrySettings(
        CommonSettings common,
        String operatorToken,
        int maxOpen,
        long defaultDeadlineMillis,
        long maxDeadlineMillis,
        int intentShards,
        double retryShare) {}
