package org.cornelway.standin.platform;

/**
 * An order that a model engine received. Immutable.
 *
 * @param holder instance that sent it
 * @param fencingNumber fencing number that it stated
 * @param receivedNanos when it arrived, by {@link System#nanoTime}
 */
public record ReceivedOrder(String holder, long fencingNumber, long receivedNanos) {}
