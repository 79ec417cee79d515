package org.cornelway.config;

/**
 * The settings of a preset for one model. Immutable.
 *
 * @param name the model's name
 * @param bytes memory of a replica: the weights and the smallest KV cache, in bytes
 * @param warm number of replicas that are kept loaded
 * @param limit maximum number of replicas
 */
public record ModelRule(String name, long bytes, int warm, int limit) {}
