package org.cornelway.models;

/**
 * Decides whose calls may wait until several of them can be served by one load. Implementations are
 * pure and thread-safe.
 */
@FunctionalInterface
public interface DeferralPolicy {
    /** No calls may wait; each model is loaded as soon as that is worthwhile. */
    DeferralPolicy NEVER = objectiveMillis -> false;

    /**
     * Calls may wait if their latency objective leaves time for another model's load and its calls.
     * With objectives of up to 3 s, as of calls that a person waits for, loads begin at once.
     */
    DeferralPolicy BY_OBJECTIVE = objectiveMillis -> objectiveMillis > 3_000;

    /**
     * Whether calls may wait for a later load of their model.
     *
     * @param objectiveMillis shortest latency objective of the model's calls
     */
    boolean isDeferrable(long objectiveMillis);
}
