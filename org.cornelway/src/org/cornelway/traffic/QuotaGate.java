package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelway.eventlog.EventLog;
import org.cornelway.quota.EntryCount;
import org.cornelway.quota.FallbackQuota;
import org.cornelway.quota.QuotaBounds;
import org.cornelway.quota.QuotaGrants;
import org.cornelway.quota.QuotaHold;
import org.cornelway.quota.QuotaQueue;
import org.cornelway.quota.QuotaReply;
import org.cornelway.quota.QuotaReport;
import org.cornelway.quota.QuotaTimes;
import org.cornelway.route.Customer;
import org.cornelway.supervisor.GuardedTask;
import org.cornelway.time.Clock;

/**
 * Admits the calls of customers within their quotas: at once if this entry holds the tokens, else
 * after the ledger has answered, within {@link QuotaTimes#WAIT_MILLIS}.
 *
 * <p>Does nothing, and sets no timer, while the configuration has no customer with a quota. Limits
 * nothing until {@link #start}. Confined to the traffic thread.
 */
final class QuotaGate {
    /** Pause between two questions to the ledger while calls wait. */
    private static final long ASK_PAUSE_MILLIS = 40;

    private final EventLoop mLoop;
    private final Supplier<TrafficView> mView;
    private final Clock mClock;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private Optional<Parts> mParts = Optional.empty();
    private boolean mAskInProgress;
    private int mStoredEntries;

    /** Version of the configuration that {@link #mHasQuotas} is about. */
    private long mVersion = -1;

    private boolean mHasQuotas;

    /** What exists once the gate is started. */
    private record Parts(
            EntryCount entries, QuotaGrants grants, QuotaQueue queue, QuotaRequester requester) {}

    QuotaGate(
            EventLoop loop,
            Supplier<TrafficView> view,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {
        mLoop = loop;
        mView = view;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    /** Begins to limit customers; this entry holds no tokens yet. */
    void start(String entry, QuotaBounds bounds, QuotaRequester requester) {
        long now = now();
        EntryCount entries = new EntryCount(now);
        QuotaGrants grants = new QuotaGrants(entry, now, new FallbackQuota(bounds, entries), now);
        mParts = Optional.of(new Parts(entries, grants, new QuotaQueue(grants), requester));
        mMetrics.registerGauge("quota.unspent", () -> Math.round(grants.lastUnspent()));
    }

    private long now() {
        return mClock.nowMillis();
    }

    /** Whether calls of a customer need tokens. */
    boolean limits(Optional<Customer> customer) {
        return mParts.isPresent() && customer.map(c -> c.quota().isLimited()).orElse(false);
    }

    /** Whether a customer in the configuration has a quota. */
    private boolean hasQuotas() {
        TrafficView view = mView.get();
        if (mVersion != view.configurationVersion()) {
            mVersion = view.configurationVersion();
            mHasQuotas =
                    view.routes().stream()
                            .flatMap(routes -> routes.configuration().customers().stream())
                            .anyMatch(customer -> customer.quota().isLimited());
        }
        return mHasQuotas;
    }

    /** Requests the tokens of a call; the listener may be called before this method returns. */
    void request(Customer customer, double cost, QuotaQueue.Listener listener) {
        Parts parts = mParts.orElseThrow();
        recordEntries(parts);
        if (parts.queue().add(customer, cost, listener, now())) {
            mMetrics.counter("quota.waited").inc();
            ask();
            mLoop.schedule(
                    new GuardedTask("wait for quota", mMetrics, this::expire),
                    QuotaTimes.WAIT_MILLIS + 1,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void recordEntries(Parts parts) {
        parts.entries().record(mView.get().entryCount(), now());
        parts.entries().recordStored(mStoredEntries, now());
    }

    /** Sets the number of entries that the key-value service holds; 0 if none. */
    void setStoredEntries(int entries) {
        mStoredEntries = entries;
    }

    private void expire() {
        mParts.orElseThrow().queue().expire(now());
    }

    private void ask() {
        Parts parts = mParts.orElseThrow();
        if (!mAskInProgress && parts.queue().isWaiting()) {
            mAskInProgress = true;
            mMetrics.counter("quota.asks").inc();
            parts.requester().ask(parts.grants().takeReport(parts.queue().costs(), now()));
        }
    }

    /** Returns the periodic report; empty if no customer has a quota. */
    Optional<QuotaReport> takeReport() {
        if (mParts.isEmpty() || !hasQuotas()) {
            return Optional.empty();
        }
        Parts parts = mParts.get();
        recordEntries(parts);
        return Optional.of(parts.grants().takeReport(parts.queue().costs(), now()));
    }

    /**
     * Applies a reply of a ledger.
     *
     * @param sentMillis when the report that it answers was taken
     */
    void onReply(QuotaReply reply, long sentMillis) {
        Parts parts = mParts.orElseThrow();
        parts.grants().applyReply(reply, sentMillis, now());
        parts.queue().retry(now());
    }

    /** Called when a question to the ledger was answered or has failed. */
    void onAskEnded() {
        mAskInProgress = false;
        if (mParts.orElseThrow().queue().isWaiting()) {
            mLoop.schedule(
                    new GuardedTask("question for quota", mMetrics, this::ask),
                    ASK_PAUSE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Removes a call that has ended while it waited. */
    void remove(QuotaQueue.Listener listener) {
        mParts.ifPresent(parts -> parts.queue().remove(listener));
    }

    /** Whether the tokens of a call are still set aside. */
    boolean isValid(QuotaHold hold) {
        return hold.isValid(now());
    }

    /** Uses the tokens of a call that is sent now; returns false if it needs others. */
    boolean spend(QuotaHold hold) {
        return mParts.orElseThrow().grants().spend(hold, now());
    }

    /** Takes back the tokens of a call that was not sent. */
    void refund(QuotaHold hold) {
        mMetrics.counter("quota.refunded").inc();
        mParts.orElseThrow().grants().refund(hold, now());
    }

    void recordAdmitted(Customer customer, long waitedMillis) {
        mMetrics.counter("quota.admitted." + customer.name()).inc();
        mMetrics.histogram("quota.wait_millis").update(waitedMillis);
    }

    void recordRefused(
            String id, Customer customer, double cost, long waitedMillis, long retryAfterMillis) {
        mMetrics.counter("quota.refused." + customer.name()).inc();
        QuotaGrants grants = mParts.orElseThrow().grants();
        mLog.write(
                "quota.refused",
                "id",
                id,
                "customer",
                customer.name(),
                "tokens",
                Math.round(cost),
                "held",
                Math.round(grants.unspent(customer.name(), now())),
                "grant_age_ms",
                grants.grantAgeMillis(now()),
                "fallback",
                grants.isFallback(now()),
                "waited_ms",
                waitedMillis,
                "retry_ms",
                retryAfterMillis);
    }
}
