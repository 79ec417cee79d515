package org.cornelway.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.route.Customer;
import org.cornelway.time.Deadline;

/**
 * Admits the calls of customers in one entry, and keeps those that wait for tokens, each for at
 * most {@link QuotaTimes#WAIT_MILLIS}, in the order of their arrival. Confined to one thread.
 */
public final class QuotaQueue {
    /** When a caller may retry if no ledger has told, such as after the start of this process. */
    private static final long UNKNOWN_RETRY_MILLIS = 500;

    private final QuotaPolicy mPolicy;
    private final List<Entry> mWaiting = new ArrayList<>();

    /** Receives what is decided of one call; called once. */
    public interface Listener {
        /** The call is admitted with tokens that are set aside for it. */
        void onAdmitted(QuotaHold hold);

        /** The call is refused; the tokens for it are available after a time. */
        void onRefused(long retryAfterMillis);
    }

    /** A call that waits. */
    private record Entry(Customer customer, double cost, Deadline until, Listener listener) {}

    /**
     * @param policy decides on the calls
     */
    public QuotaQueue(QuotaPolicy policy) {
        mPolicy = policy;
    }

    /** Decides on a call; returns whether it waits, so that the ledger must be asked. */
    public boolean add(Customer customer, double cost, Listener listener, long nowMillis) {
        QuotaPolicy.Decision decision = mPolicy.take(customer, cost, true, nowMillis);
        if (apply(decision, listener)) {
            return false;
        }
        Deadline until = Deadline.after(nowMillis, QuotaTimes.WAIT_MILLIS);
        mWaiting.add(new Entry(customer, cost, until, listener));
        return true;
    }

    /** Passes on a decision; returns whether it is final. */
    private static boolean apply(QuotaPolicy.Decision decision, Listener listener) {
        if (decision instanceof QuotaPolicy.Admitted admitted) {
            listener.onAdmitted(admitted.hold());
        } else if (decision instanceof QuotaPolicy.Refused refused) {
            listener.onRefused(refused.retryAfterMillis());
        }
        return !(decision instanceof QuotaPolicy.Waiting);
    }

    /** Decides again on the calls that wait, since tokens may have come or been denied. */
    public void retry(long nowMillis) {
        List<Entry> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        for (Entry each : waiting) {
            if (!apply(
                    mPolicy.take(each.customer(), each.cost(), false, nowMillis),
                    each.listener())) {
                mWaiting.add(each);
            }
        }
    }

    /** Refuses the calls that have waited as long as a call may. */
    public void expire(long nowMillis) {
        List<Entry> expired =
                mWaiting.stream().filter(each -> each.until().isPast(nowMillis)).toList();
        mWaiting.removeAll(expired);
        expired.forEach(each -> each.listener().onRefused(UNKNOWN_RETRY_MILLIS));
    }

    /** Removes a call that waits, since it has ended. */
    public void remove(Listener listener) {
        mWaiting.removeIf(each -> each.listener() == listener);
    }

    /** Whether a call waits. */
    public boolean isWaiting() {
        return !mWaiting.isEmpty();
    }

    /** Returns the costs of the calls that wait, by customer. */
    public Map<String, List<Double>> costs() {
        Map<String, List<Double>> costs = new HashMap<>();
        mWaiting.forEach(
                each ->
                        costs.computeIfAbsent(each.customer().name(), key -> new ArrayList<>())
                                .add(each.cost()));
        return costs;
    }
}
