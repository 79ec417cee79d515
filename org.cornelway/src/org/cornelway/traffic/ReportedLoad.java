package org.cornelway.traffic;

/**
 * The load that a backend server reports with a response. Immutable.
 *
 * @param running requests that it is processing
 * @param waiting requests that are queued in it
 * @param slots requests that it can process at once
 * @param slownessPercent current processing time in percent of the usual one
 */
public record ReportedLoad(int running, int waiting, int slots, int slownessPercent) {}
