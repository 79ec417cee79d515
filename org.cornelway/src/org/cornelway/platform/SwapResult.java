package org.cornelway.platform;

import java.util.Optional;

/** What became of a conditional write. Immutable. */
public sealed interface SwapResult {
    /** The write took effect at a revision. */
    record Swapped(long revision) implements SwapResult {}

    /** Another value was there; it is given unless the key is absent. */
    record Conflict(Optional<KeyValue> current) implements SwapResult {}

    /** The write did not reach the service. */
    record NotSent(String reason) implements SwapResult {}

    /** The write may or may not have taken effect. */
    record Ambiguous(String reason) implements SwapResult {}
}
