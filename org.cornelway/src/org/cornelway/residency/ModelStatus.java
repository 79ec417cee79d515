package org.cornelway.residency;

/**
 * A model's state in one engine, for reports. Immutable.
 *
 * @param model the model
 * @param phase its phase
 * @param bytes memory reserved for it, in bytes
 * @param active number of requests running on it
 */
public record ModelStatus(String model, ModelPhase phase, long bytes, int active) {}
