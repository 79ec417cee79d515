package org.cornelway.platform;

/**
 * A completion asked of a model engine. Immutable by convention.
 *
 * @param requestId id of the request
 * @param model the model
 * @param adapter the adapter or empty
 * @param path path of the completions interface
 * @param body JSON body
 * @param priority lower runs first
 */
public record CompletionCall(
        String requestId, String model, String adapter, String path, byte[] body, int priority) {}
