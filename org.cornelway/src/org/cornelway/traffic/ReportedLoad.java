package org.cornelway.traffic;

/**
 * A backend server's load as it tells it on an answer. Immutable.
 *
 * @param running requests that it works on
 * @param waiting requests that wait in it
 * @param slots requests that it works on at once
 * @param slownessPercent time that work takes at this moment; 100 is usual
 */
public record ReportedLoad(int running, int waiting, int slots, int slownessPercent) {}
