package org.cornelway.admin;

import java.util.List;

/**
 * Configured and actual capacity of a model. Immutable.
 *
 * @param model name of the model
 * @param warm number of replicas that the preset keeps loaded
 * @param limit maximum number of replicas that the preset allows
 * @param loaded number of replicas that are loaded
 * @param loading number of replicas that are being loaded, being unloaded, or in an unknown state
 * @param where ids of the instances that report the model, in any state
 * @param slots ids of the instances that the model's slots are bound to
 */
public record ModelCapacity(
        String model,
        int warm,
        int limit,
        int loaded,
        int loading,
        List<String> where,
        List<String> slots) {}
