package org.cornelway.config;

/**
 * What a preset decides for one model. Immutable.
 *
 * @param name the model's name
 * @param bytes weights plus the smallest KV cache, in bytes
 * @param warm replicas kept loaded
 * @param limit replicas never exceeded
 */
public record ModelRule(String name, long bytes, int warm, int limit) {}
