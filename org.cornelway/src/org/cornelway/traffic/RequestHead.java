package org.cornelway.traffic;

import java.util.List;
import java.util.Optional;

/**
 * What a caller's request head says. Immutable.
 *
 * @param requestId unique id of this attempt
 * @param host value of the Host header
 * @param timeoutMillis how long the caller waits from now; empty where it does not say
 * @param target the model and adapter asked for; empty for a plain service
 * @param expectedTokens the caller's estimate of how long the answer will be; often far off
 * @param promptPartIds ids of the parts of the prompt, in order
 * @param lastEventId last event that the caller has of a stream that it resumes
 */
public record RequestHead(
        String requestId,
        String host,
        Optional<Long> timeoutMillis,
        Optional<ModelTarget> target,
        Optional<Long> expectedTokens,
        List<String> promptPartIds,
        Optional<String> lastEventId) {
    /** Hash of the prompt's parts that other calls share; the last part is the call's own. */
    public int sharedPrefixHash() {
        return promptPartIds.size() < 2
                ? 0
                : promptPartIds.subList(0, promptPartIds.size() - 1).hashCode() | 1;
    }
}
