package org.cornelway.placement;

/**
 * A backend server as seen by the placement planner. Immutable.
 *
 * @param id instance id
 * @param zone its availability zone
 * @param memoryBytes memory of its engine
 * @param leaving whether it is leaving: it gets no new slots and releases those that it has
 */
public record ServerView(String id, String zone, long memoryBytes, boolean leaving) {}
