package org.cornelway.traffic;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.quota.QuotaHold;
import org.cornelway.quota.QuotaQueue;
import org.cornelway.route.Customer;
import org.cornelway.route.TokenQuota;

/**
 * The tokens of one call of a customer with a quota.
 *
 * <p>Invariants: the call is sent only with tokens, and it is charged once, however often it is
 * sent. Tokens that were not used when the call ends are returned. Tokens that are set aside for a
 * call are lost to it if it is not sent for long, such as while its model is loaded; it then needs
 * others. Confined to the traffic thread; lives as long as its call.
 */
final class CallQuota implements QuotaQueue.Listener {
    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private Optional<Customer> mCustomer = Optional.empty();
    private Optional<QuotaHold> mHold = Optional.empty();
    private Runnable mOnAdmitted = () -> {};
    private LongConsumer mOnRefused = millis -> {};
    private long mRequestedMillis;
    private boolean mWaiting;
    private boolean mCharged;

    CallQuota(TrafficContext context, CallerRequest request) {
        mContext = context;
        mRequest = request;
    }

    private QuotaGate gate() {
        return mContext.quotas();
    }

    private double cost() {
        TokenQuota quota = mCustomer.orElseThrow().quota();
        if (!quota.countsTokens()) {
            return 1;
        }
        return mRequest.head().tokens().map(TokenCount::total).orElse(quota.plainCost());
    }

    /**
     * Whether the call may be sent as far as its customer's quota is concerned. If not, requests
     * the tokens, unless they are requested already.
     *
     * @param onAdmitted called when there are tokens, also before this method returns
     * @param onRefused called when there are none, with the time until there are
     */
    boolean isReadyOrRequest(
            Optional<Customer> customer, Runnable onAdmitted, LongConsumer onRefused) {
        boolean isReady = mCharged || !gate().limits(customer) || hasValidHold();
        if (!isReady && !mWaiting) {
            mCustomer = customer;
            mOnAdmitted = onAdmitted;
            mOnRefused = onRefused;
            mWaiting = true;
            mRequestedMillis = mContext.clock().nowMillis();
            gate().request(customer.orElseThrow(), cost(), this);
        }
        return isReady;
    }

    private boolean hasValidHold() {
        if (mHold.isPresent() && !gate().isValid(mHold.get())) {
            gate().refund(mHold.get());
            mHold = Optional.empty();
        }
        return mHold.isPresent();
    }

    private long waitedMillis() {
        return mContext.clock().nowMillis() - mRequestedMillis;
    }

    @Override
    public void onAdmitted(QuotaHold hold) {
        mWaiting = false;
        mHold = Optional.of(hold);
        gate().recordAdmitted(mCustomer.orElseThrow(), waitedMillis());
        mOnAdmitted.run();
    }

    @Override
    public void onRefused(long retryAfterMillis) {
        mWaiting = false;
        String id = mRequest.head().requestId();
        gate().recordRefused(id, mCustomer.orElseThrow(), cost(), waitedMillis(), retryAfterMillis);
        mOnRefused.accept(retryAfterMillis);
    }

    /** Charges the call, which is sent now; returns false if its tokens were taken back. */
    boolean spend() {
        if (mHold.isPresent()) {
            mCharged = gate().spend(mHold.get());
            mHold = Optional.empty();
        }
        return mCharged || mCustomer.isEmpty();
    }

    /** Returns the tokens of the call, which has ended, unless it was sent. */
    void end() {
        if (mWaiting) {
            gate().remove(this);
        }
        mWaiting = false;
        mHold.ifPresent(hold -> gate().refund(hold));
        mHold = Optional.empty();
    }
}
