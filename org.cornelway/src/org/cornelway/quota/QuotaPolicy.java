package org.cornelway.quota;

import org.cornelway.route.Customer;

/**
 * Decides in one entry whether a customer's call is within the customer's quota. Implementations
 * are confined to one thread.
 */
public interface QuotaPolicy {
    /** What is decided of a call. */
    sealed interface Decision {}

    /**
     * The call is admitted.
     *
     * @param hold the tokens that are set aside for it
     */
    record Admitted(QuotaHold hold) implements Decision {}

    /** The call may be admitted once the ledger has answered. */
    record Waiting() implements Decision {}

    /**
     * The call is refused.
     *
     * @param retryAfterMillis time until the tokens for it are available
     */
    record Refused(long retryAfterMillis) implements Decision {}

    /**
     * Decides on a call that costs a number of tokens.
     *
     * @param isNew whether the call is counted as demand; false if it was decided on before
     */
    Decision take(Customer customer, double cost, boolean isNew, long nowMillis);

    /**
     * Records that a call is sent now; returns false if its tokens were taken back because it was
     * not sent for long.
     */
    boolean spend(QuotaHold hold, long nowMillis);

    /** Takes back the tokens of a call that was not sent. */
    void refund(QuotaHold hold, long nowMillis);
}
