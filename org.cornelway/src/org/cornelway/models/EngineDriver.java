package org.cornelway.models;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Map;
import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;
import org.cornelway.time.Deadline;

/**
 * Sends planned orders to one incarnation of an engine, one after the other, and tracks what the
 * engine holds.
 *
 * <p>Invariants: no order is sent before a report was read; at most one order call is in flight;
 * each order states the number of orders that the engine has accepted, so that a late or lost order
 * cannot act on a state that it was not planned for; an order without a reply counts as possibly
 * carried out until a report shows its outcome. Confined to the control thread.
 */
final class EngineDriver {
    /**
     * Expected duration of an unload. An engine confirms an unload within one of its steps if no
     * calls are active.
     */
    static final long UNLOAD_MILLIS = 15;

    /** Time after the expected end of an order before it counts as complete without a report. */
    private static final long END_SLACK_MILLIS = 20;

    /** Delay before a reread if the report lags (by some hundred ms) or the engine is busy. */
    private static final long REREAD_DELAY_MILLIS = 70;

    /** Interval at which a report is read to see whether unloads of adapters have finished. */
    private static final long UNLOAD_CHECK_INTERVAL_MILLIS = 300;

    /** Longest time by which a report lags behind the engine's state. */
    private static final long MAX_REPORT_LAG_MILLIS = 1_000;

    /** Expected time until a required report has been read. */
    private static final long REPORT_READ_MILLIS = 120;

    private final EngineControl mEngines;
    private final Scheduler mControl;
    private final EngineListener mListener;
    private final OrderQueue mOrderQueue = new OrderQueue();
    private ServerRecord mServer;
    private final EngineContents mContents;
    private boolean mReportRead;
    private boolean mCallInFlight;
    private boolean mReportRequired = true;
    private boolean mUnloadCheckRequired;
    private Deadline mNextUnloadCheck = new Deadline(0);
    private long mAcceptedOrders;

    /** Until when a report with fewer accepted orders counts as older than the last order. */
    private Deadline mReportsLagUntil = new Deadline(0);

    private final StoreLoadProgress mStoreLoad;
    private long mAssumedEndMillis;
    private long mBusyUntilMillis;
    private final CallPacing mPacing = new CallPacing();

    /**
     * @param hostMemoryMegabytes host memory available for cached copies of weights
     */
    EngineDriver(
            ServerRecord server,
            double hostMemoryMegabytes,
            EngineControl engines,
            Scheduler control,
            EngineListener listener) {
        mServer = server;
        mContents = new EngineContents(new CachedWeights(server, hostMemoryMegabytes));
        mEngines = engines;
        mControl = control;
        mListener = listener;
        mStoreLoad = new StoreLoadProgress(listener);
    }

    ServerRecord server() {
        return mServer;
    }

    /**
     * Applies a newer directory record of the same incarnation. Requires a report if the record's
     * models have changed and differ from the known ones while no order is outstanding.
     */
    void updateRecord(ServerRecord server) {
        boolean differs = mReportRead && !server.models().keySet().equals(models().keySet());
        boolean changed = !server.models().equals(mServer.models());
        mServer = server;
        if (changed && differs && mOrderQueue.isEmpty()) {
            mReportRequired = true;
        }
    }

    /** Whether a report was read and the engine does not count as unreachable. */
    boolean isStateKnown() {
        return mReportRead && !mPacing.isUnreachable();
    }

    /** Whether no report was read yet and the engine does not count as unreachable. */
    boolean awaitsFirstReport() {
        return !mReportRead && !mPacing.isUnreachable();
    }

    /** Whether requests may be answered from the state: it is known and no report is required. */
    boolean isStateCurrent() {
        return isStateKnown() && !mReportRequired;
    }

    /** Whether a model order can be sent now: the state is current and no order outstanding. */
    boolean acceptsModelOrders() {
        return isStateKnown() && mOrderQueue.isEmpty() && !mReportRequired;
    }

    /** Returns the expected time until a model order can be sent; 0 if it can be sent now. */
    long waitMillis(long nowMillis) {
        if (acceptsModelOrders()) {
            return 0;
        }
        long reportMillis =
                mReportRequired || mOrderQueue.unconfirmed().isPresent() ? REPORT_READ_MILLIS : 0;
        return Math.max(1, readyMillis(nowMillis) - nowMillis) + reportMillis;
    }

    /** Whether an adapter order may be queued now. Several adapters may load at the same time. */
    boolean acceptsAdapterOrders() {
        return isStateKnown()
                && mOrderQueue.queued().isEmpty()
                && mOrderQueue.unconfirmed().isEmpty()
                && !mReportRequired;
    }

    Map<String, HeldAdapters> models() {
        return mContents.models();
    }

    CachedWeights cachedWeights() {
        return mContents.cachedWeights();
    }

    /** Returns the outstanding orders: queued, running and unconfirmed ones. */
    OrderQueue orderQueue() {
        return mOrderQueue;
    }

    /** Whether a load of the model is outstanding. */
    boolean isLoading(String model) {
        return mOrderQueue.loadingModels().contains(model);
    }

    /** Whether an unload of the model is outstanding. */
    boolean isUnloading(String model) {
        return mOrderQueue.isUnloading(model);
    }

    /** Returns the expected end of the running and queued orders, in ms since the epoch. */
    long readyMillis(long nowMillis) {
        return Math.max(nowMillis, mBusyUntilMillis) + mOrderQueue.queuedMillis();
    }

    /** Adds an order to the queue. */
    void enqueue(PlannedOrder planned) {
        mOrderQueue.queued().add(planned);
    }

    /** Requires that the engine's report is read before the next order is sent. */
    void requireReport() {
        mReportRequired = true;
    }

    /**
     * Requires a report if the engine unloads adapters whose places are waited for, since no reply
     * tells when their calls have ended. The known state stays in use meanwhile.
     */
    void checkUnloads(long nowMillis) {
        if (mContents.isUnloadingAdapter() && mNextUnloadCheck.isPast(nowMillis)) {
            mNextUnloadCheck = Deadline.after(nowMillis, UNLOAD_CHECK_INTERVAL_MILLIS);
            mUnloadCheckRequired = true;
        }
    }

    /**
     * Completes the running order if its assumed end has passed, then reads a report or sends the
     * next order if either is due.
     */
    void advance(long nowMillis) {
        Optional<PlannedOrder> running = mOrderQueue.running();
        running.ifPresent(mStoreLoad::observe);
        if (running.isPresent() && nowMillis >= mAssumedEndMillis) {
            if (running.get().readsCheckpointStore()) {
                // Concurrent loads slow the checkpoint store down, so only a report can tell
                // whether this one is complete.
                mReportRequired = true;
            } else {
                onOrderFinished(running.get(), nowMillis);
            }
        }
        if (mCallInFlight || !mPacing.isCallDue(nowMillis)) {
            return;
        }
        if (mReportRequired || mUnloadCheckRequired || mOrderQueue.unconfirmed().isPresent()) {
            readReport();
        } else if (!mOrderQueue.queued().isEmpty() && mOrderQueue.running().isEmpty()) {
            sendOrder(mOrderQueue.queued().peek());
        }
    }

    private void readReport() {
        mCallInFlight = true;
        Single.defer(() -> mEngines.report(mServer))
                .observeOn(mControl)
                .subscribe(
                        report -> {
                            mCallInFlight = false;
                            mPacing.recordReply();
                            onReport(report, now());
                        },
                        e -> {
                            mCallInFlight = false;
                            onCallFailed();
                        });
    }

    private void onCallFailed() {
        mPacing.recordFailure(now());
        mListener.onStateChanged(this);
    }

    private void onReport(EngineReport report, long nowMillis) {
        if (report.startedMillis() != 0
                && report.startedMillis() != mServer.incarnation().startedMillis()) {
            // Another incarnation has replied; the directory will list it in place of this one.
            onCallFailed();
            return;
        }
        if (isOutdated(report, nowMillis) || report.busy()) {
            mPacing.delayUntil(nowMillis + REREAD_DELAY_MILLIS);
            mReportRequired |= !mUnloadCheckRequired;
            return;
        }
        mReportRequired = false;
        mUnloadCheckRequired = false;
        mReportRead = true;
        mPacing.recordNoConflict();
        Optional<PlannedOrder> unconfirmed = mOrderQueue.unconfirmed();
        boolean moreAccepted = report.acceptedOrders() > mAcceptedOrders;
        mAcceptedOrders = report.acceptedOrders();
        mContents.apply(report, nowMillis);
        reportStoreLoadEnd(report, nowMillis);
        mOrderQueue.setRunning(Optional.empty());
        mOrderQueue.setUnconfirmed(Optional.empty());
        mBusyUntilMillis = nowMillis;
        if (unconfirmed.isPresent() && !moreAccepted) {
            // Retries with the same number of accepted orders, so the engine accepts it only once.
            mOrderQueue.queued().addFirst(unconfirmed.get());
        } else if (moreAccepted) {
            // The engine has accepted the unconfirmed order or one from another sender, so the
            // queued orders are based on an outdated state.
            mOrderQueue.queued().clear();
        }
        mListener.onStateChanged(this);
        advance(nowMillis);
    }

    /**
     * Whether a report is older than the last order. One that still lists fewer orders after the
     * longest lag is right: a reply that showed no effect was counted as an order.
     */
    private boolean isOutdated(EngineReport report, long nowMillis) {
        return mReportRead
                && report.acceptedOrders() < mAcceptedOrders
                && !mReportsLagUntil.isPast(nowMillis);
    }

    private void countAcceptedOrder(long nowMillis) {
        mAcceptedOrders++;
        mReportsLagUntil = Deadline.after(nowMillis, MAX_REPORT_LAG_MILLIS);
    }

    /** Tells the listener if the running order was a load from the checkpoint store and is done. */
    private void reportStoreLoadEnd(EngineReport report, long nowMillis) {
        mOrderQueue
                .running()
                .filter(PlannedOrder::readsCheckpointStore)
                .filter(load -> report.models().containsKey(load.model()))
                .ifPresent(load -> mStoreLoad.end(load, nowMillis));
    }

    private void sendOrder(PlannedOrder planned) {
        Optional<EngineListener.Term> term = mListener.term();
        if (term.isEmpty()) {
            return;
        }
        mCallInFlight = true;
        ServerOrder order =
                new ServerOrder(
                        planned.isLoad(),
                        planned.model(),
                        planned.adapter(),
                        mAcceptedOrders,
                        term.get().holder(),
                        term.get().fencingNumber());
        Single.defer(() -> mEngines.order(mServer, order, () -> mListener.term().equals(term)))
                .onErrorReturn(e -> new OrderReply.Unconfirmed(String.valueOf(e)))
                .observeOn(mControl)
                .subscribe(
                        reply -> {
                            mCallInFlight = false;
                            mListener.onOrderReply(mServer, order, reply);
                            onReply(planned, reply, now());
                        });
    }

    private void onReply(PlannedOrder planned, OrderReply reply, long nowMillis) {
        if (reply instanceof OrderReply.Accepted) {
            mOrderQueue.queued().poll();
            mPacing.recordReply();
            countAcceptedOrder(nowMillis);
            onOrderBegun(planned, nowMillis);
        } else if (reply instanceof OrderReply.AlreadyInEffect) {
            mOrderQueue.queued().poll();
            mPacing.recordReply();
            onOrderFinished(planned, nowMillis);
            // An adapter that was there, as usual, has been unloaded, which counts as an order. In
            // all other cases only a report shows the number of orders.
            mReportRequired = planned.adapter().isEmpty() || planned.isLoad();
            if (!mReportRequired) {
                countAcceptedOrder(nowMillis);
            }
        } else if (reply instanceof OrderReply.Unconfirmed) {
            mOrderQueue.queued().poll();
            mOrderQueue.setUnconfirmed(Optional.of(planned));
            onCallFailed();
        } else if (reply instanceof OrderReply.Fenced) {
            mOrderQueue.queued().clear();
            mReportRequired = true;
            mListener.onFenced();
        } else if (reply instanceof OrderReply.NotSent) {
            onCallFailed();
        } else if (reply instanceof OrderReply.Conflict) {
            onConflict(nowMillis);
        } else {
            mOrderQueue.queued().clear();
            mReportRequired = true;
            mPacing.delayUntil(nowMillis + REREAD_DELAY_MILLIS);
        }
        mListener.onStateChanged(this);
        advance(nowMillis);
    }

    /**
     * Schedules a retry of an order that conflicted with another one, usually with an unload that
     * is still waiting for its active calls.
     */
    private void onConflict(long nowMillis) {
        long retryMillis = mPacing.recordConflict(nowMillis, mBusyUntilMillis);
        mReportRequired = mPacing.isReportDueAfterConflict();
        mBusyUntilMillis = Math.max(mBusyUntilMillis, retryMillis);
    }

    private void onOrderBegun(PlannedOrder planned, long nowMillis) {
        mPacing.recordNoConflict();
        if (planned.adapter().isEmpty()) {
            mOrderQueue.setRunning(Optional.of(planned));
            mStoreLoad.begin(nowMillis);
            mBusyUntilMillis = nowMillis + planned.expectedMillis();
            mAssumedEndMillis =
                    nowMillis
                            + (planned.isLoad() ? planned.expectedMillis() : UNLOAD_MILLIS)
                            + END_SLACK_MILLIS;
        } else if (!planned.isLoad()) {
            // The adapter is in use after all; its place is not free for the load planned for it.
            mOrderQueue.queued().clear();
            mNextUnloadCheck = Deadline.after(nowMillis, UNLOAD_CHECK_INTERVAL_MILLIS);
        }
        mContents.recordBegun(planned, nowMillis);
    }

    private void onOrderFinished(PlannedOrder planned, long nowMillis) {
        mOrderQueue.setRunning(Optional.empty());
        mContents.recordFinished(planned, nowMillis);
        mListener.onStateChanged(this);
    }

    private long now() {
        return mControl.now(java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
