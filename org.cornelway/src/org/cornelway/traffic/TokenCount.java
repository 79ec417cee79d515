package org.cornelway.traffic;

/**
 * The size of a call for a model, as its caller states it. Immutable.
 *
 * @param prompt tokens of the prompt
 * @param maxOutput largest number of tokens of the response
 */
public record TokenCount(long prompt, long maxOutput) {
    /** Returns the tokens of the prompt and of the longest response together. */
    public long total() {
        return prompt + maxOutput;
    }
}
