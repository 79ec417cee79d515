package org.cornelway.standin.platform;

/**
 * The events of the streams of a {@link BackendServerStandin}.
 *
 * @param eventCount id of the last event
 * @param intervalMillis time between two events
 * @param paddingBytes bytes that the data of each event has in addition
 */
public record StreamPlan(int eventCount, long intervalMillis, int paddingBytes) {}
