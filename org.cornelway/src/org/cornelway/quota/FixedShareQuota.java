package org.cornelway.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.cornelway.route.Customer;
import org.cornelway.time.Deadline;

/**
 * Gives each entry the same fixed share of each quota. Keeps the quota without any message, but
 * refuses calls that are within it unless the demand is spread evenly and densely. Confined to one
 * thread.
 */
public final class FixedShareQuota implements QuotaPolicy {
    private final IntSupplier mEntries;
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();

    /**
     * @param entries number of entries
     */
    public FixedShareQuota(IntSupplier entries) {
        mEntries = entries;
    }

    @Override
    public Decision take(Customer customer, double cost, boolean isNew, long nowMillis) {
        TokenBucket bucket =
                mBuckets.computeIfAbsent(customer.name(), key -> new TokenBucket(nowMillis));
        double rate = customer.quota().perSecond() / mEntries.getAsInt();
        bucket.fill(rate, customer.quota().burst() / mEntries.getAsInt(), nowMillis);
        if (bucket.take(cost)) {
            return new Admitted(
                    new QuotaHold(
                            customer.name(),
                            cost,
                            false,
                            Deadline.after(nowMillis, QuotaTimes.HOLD_MILLIS)));
        }
        return new Refused(bucket.waitMillis(cost, rate));
    }

    @Override
    public boolean spend(QuotaHold hold, long nowMillis) {
        return hold.end();
    }

    @Override
    public void refund(QuotaHold hold, long nowMillis) {
        if (hold.end()) {
            mBuckets.get(hold.customer()).put(hold.cost());
        }
    }
}
