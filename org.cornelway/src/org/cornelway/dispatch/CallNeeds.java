package org.cornelway.dispatch;

import java.util.Set;

/**
 * What the choice of a server depends on besides the servers. Immutable.
 *
 * @param affinity hash of the prompt parts that other calls may share; 0 if there are none
 * @param tried ids of the servers that the call was sent to before
 * @param tokens tokens that the call will hold in an engine's memory; 0 for a plain service
 * @param draw a number that differs between calls, from which choices among equals are derived
 */
public record CallNeeds(int affinity, Set<String> tried, long tokens, int draw) {}
