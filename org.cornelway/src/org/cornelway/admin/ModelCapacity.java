package org.cornelway.admin;

import java.util.List;

/**
 * Configured and actual capacity of a model. Immutable.
 *
 * @param model the model
 * @param warm number of replicas that the preset keeps loaded
 * @param limit largest number of replicas that the preset allows
 * @param loaded number of replicas that are loaded
 * @param loading number of replicas that are being loaded, being unloaded, or in an unknown state
 * @param where instances that report the model, in any state
 * @param slots instances that the model's slots are bound to
 */
public record ModelCapacity(
        String model,
        int warm,
        int limit,
        int loaded,
        int loading,
        List<String> where,
        List<String> slots) {}
