package org.cornelway.platform;

/**
 * A completion request to a model engine. Immutable by convention.
 *
 * @param requestId id of the request
 * @param model the model
 * @param adapter the adapter, or empty for the model itself
 * @param path path of the completions API
 * @param body JSON body
 * @param priority requests with a lower number run first
 */
public record CompletionCall(
        String requestId, String model, String adapter, String path, byte[] body, int priority) {}
