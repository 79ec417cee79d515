package org.cornelway.placement;

/**
 * A backend server's confirmation that it no longer holds a model. Immutable.
 *
 * @param model name of the model
 * @param server instance id of the backend server
 */
public record UnloadConfirmation(String model, String server) {}
