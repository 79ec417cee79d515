package org.cornelway.platform;

import java.util.Optional;

/** Result of a conditional write. Immutable. */
public sealed interface SwapResult {
    /** The write took effect and gave the key a new revision. */
    record Swapped(long revision) implements SwapResult {}

    /**
     * The key did not have the expected revision.
     *
     * @param current the key's current value and revision, or empty if the key is absent
     */
    record Conflict(Optional<KeyValue> current) implements SwapResult {}

    /** The write did not take effect: it was not sent, or the service refused it. */
    record NotApplied(String reason) implements SwapResult {}

    /** The write may or may not have taken effect. */
    record Ambiguous(String reason) implements SwapResult {}
}
