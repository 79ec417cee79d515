package org.cornelway.placement;

/**
 * A backend server as the planner sees it. Immutable.
 *
 * @param id instance id
 * @param zone its availability zone
 * @param memoryBytes its engine's memory
 * @param leaving whether it takes no new slots and releases the ones it has
 */
public record ServerView(String id, String zone, long memoryBytes, boolean leaving) {}
