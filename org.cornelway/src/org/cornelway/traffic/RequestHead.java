package org.cornelway.traffic;

import java.util.List;
import java.util.Optional;
import org.cornelway.route.CustomerKey;

/**
 * The parsed head of a caller's request. Immutable.
 *
 * @param requestId unique id of the request; a retry by the caller has another one
 * @param host value of the Host header
 * @param timeoutMillis how long the caller waits for the response; empty if it states no timeout
 * @param target the requested model and adapter; empty for a plain service
 * @param expectedTokens the caller's estimate of the length of the response in tokens; often
 *     inaccurate
 * @param promptPartIds ids of the parts of the prompt, in order
 * @param lastEventId id of the last event that the caller received if it resumes a stream; else
 *     empty
 * @param customerKey key of the customer; empty if the caller sent none
 * @param tokens size of a call for a model; empty if the caller states none
 */
public record RequestHead(
        String requestId,
        String host,
        Optional<Long> timeoutMillis,
        Optional<ModelTarget> target,
        Optional<Long> expectedTokens,
        List<String> promptPartIds,
        Optional<String> lastEventId,
        Optional<CustomerKey> customerKey,
        Optional<TokenCount> tokens) {
    /**
     * Returns the tokens that a call for a model is expected to hold in an engine's memory at its
     * end; empty if the caller does not state its size.
     */
    public Optional<Long> expectedTotalTokens() {
        return tokens.map(
                count ->
                        count.prompt()
                                + Math.min(
                                        count.maxOutput(),
                                        expectedTokens.orElse(count.maxOutput())));
    }

    /** Ids of the parts of the prompt that other calls may share: all but the last. */
    public List<String> sharedParts() {
        return promptPartIds.size() < 2
                ? List.of()
                : promptPartIds.subList(0, promptPartIds.size() - 1);
    }

    /** Hash of the shared parts of the prompt; 0 if there are none. */
    public int sharedPrefixHash() {
        return sharedParts().isEmpty() ? 0 : sharedParts().hashCode() | 1;
    }
}
