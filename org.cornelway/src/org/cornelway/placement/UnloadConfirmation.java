package org.cornelway.placement;

/**
 * A backend server's confirmation that it holds nothing of a model. Immutable.
 *
 * @param model the model
 * @param server instance id of the backend server
 */
public record UnloadConfirmation(String model, String server) {}
