package org.cornelway.traffic;

import java.util.List;
import java.util.Optional;

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
 */
public record RequestHead(
        String requestId,
        String host,
        Optional<Long> timeoutMillis,
        Optional<ModelTarget> target,
        Optional<Long> expectedTokens,
        List<String> promptPartIds,
        Optional<String> lastEventId) {
    /**
     * Hash of the prompt parts that other calls may share, which are all but the last; 0 if there
     * are none.
     */
    public int sharedPrefixHash() {
        return promptPartIds.size() < 2
                ? 0
                : promptPartIds.subList(0, promptPartIds.size() - 1).hashCode() | 1;
    }
}
