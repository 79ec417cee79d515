package org.cornelway.standin.platform;

/**
 * An order that a model engine received. Immutable.
 *
 * @param holder instance that sent it
 * @param fencingNumber fencing number that it stated
 */
public record ReceivedOrder(String holder, long fencingNumber) {}
