package org.cornelway.admin;

import java.util.List;

/**
 * A model's capacity as decided and as found. Immutable.
 *
 * @param model the model
 * @param warm replicas decided to be kept loaded
 * @param limit replicas never exceeded
 * @param loaded replicas loaded
 * @param loading replicas being loaded, unloaded or not settled
 * @param where instances that hold it
 * @param slots instances that its slots are bound to
 */
public record ModelCapacity(
        String model,
        int warm,
        int limit,
        int loaded,
        int loading,
        List<String> where,
        List<String> slots) {}
