package org.cornelway.models;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;

/**
 * Brings one life of an engine to what was planned, one order after the other.
 *
 * <p>Invariants: no order before a report was read; at most one order call at a time; each order
 * names the number of orders that the engine has accepted, so that a late or lost one cannot act on
 * a state that nobody planned for; an order without an answer counts as carried out until a report
 * settles it. Confined to the control thread.
 */
final class EngineDriver {
    /** An engine confirms an unload without calls under way within a step. */
    static final long UNLOAD_MILLIS = 15;

    /** Slack on the expected end of a load before it counts as done without a report. */
    private static final long DONE_SLACK_MILLIS = 20;

    /** Time between two reports while an order is late; reports lag by some hundred ms. */
    private static final long POLL_MILLIS = 70;

    /** Least and longest pause before an order is tried again that met another one. */
    private static final long CONFLICT_MILLIS = 40;

    private static final long LAST_CONFLICT_MILLIS = 250;

    /** Conflicts in a row after which the engine is read. */
    private static final int CONFLICTS_READ = 5;

    /** First pause after a call that failed; doubles up to the last. */
    private static final long FIRST_RETRY_MILLIS = 150;

    private static final long LAST_RETRY_MILLIS = 1_200;

    /** Time after which an engine is known again that must be read first. */
    private static final long UNSURE_MILLIS = 120;

    private static final int UNREACHABLE_FAILURES = 2;

    private final EngineControl mEngines;
    private final Scheduler mControl;
    private final EngineListener mListener;
    private final Map<String, HeldAdapters> mModels = new HashMap<>();
    private final OrderQueue mSteps = new OrderQueue();
    private ServerRecord mServer;
    private final CachedWeights mCopies;
    private boolean mKnown;
    private boolean mCalling;
    private boolean mMustRead = true;
    private long mOrders;
    private long mLookMillis;
    private long mBusyUntilMillis;
    private int mConflicts;
    private long mNextCallMillis;
    private int mFailures;

    /**
     * @param hostMegabytes host memory for copies of weights
     */
    EngineDriver(
            ServerRecord server,
            double hostMegabytes,
            EngineControl engines,
            Scheduler control,
            EngineListener listener) {
        mServer = server;
        mCopies = new CachedWeights(server, hostMegabytes);
        mEngines = engines;
        mControl = control;
        mListener = listener;
    }

    ServerRecord server() {
        return mServer;
    }

    /** Takes over a newer announcement of the same life. */
    void updateRecord(ServerRecord server) {
        boolean differs = mKnown && !server.models().keySet().equals(mModels.keySet());
        boolean changed = !server.models().equals(mServer.models());
        mServer = server;
        if (changed && differs && mSteps.isEmpty()) {
            mMustRead = true;
        }
    }

    boolean isKnown() {
        return mKnown && mFailures < UNREACHABLE_FAILURES;
    }

    /** Whether the engine's first report is still to come, and nothing says that it will not. */
    boolean awaitsFirstReport() {
        return !mKnown && mFailures < UNREACHABLE_FAILURES;
    }

    /** Whether what is believed of the engine may be told. */
    boolean isStateCurrent() {
        return isKnown() && !mMustRead;
    }

    /** Whether a model order can begin now. */
    boolean isIdle() {
        return isKnown() && mSteps.isEmpty() && !mMustRead;
    }

    /** Time until a model order can begin, as far as is known; 0 if it can now. */
    long waitMillis(long nowMillis) {
        if (isIdle()) {
            return 0;
        }
        long unsure = mMustRead || mSteps.unconfirmed().isPresent() ? UNSURE_MILLIS : 0;
        return Math.max(1, readyMillis(nowMillis) - nowMillis) + unsure;
    }

    /** Whether an adapter order can begin now; these may overlap. */
    boolean acceptsAdapterOrders() {
        return isKnown()
                && mSteps.queued().isEmpty()
                && mSteps.unconfirmed().isEmpty()
                && !mMustRead;
    }

    Map<String, HeldAdapters> models() {
        return mModels;
    }

    CachedWeights cachedWeights() {
        return mCopies;
    }

    /** Orders that wait or are under way. */
    OrderQueue orderQueue() {
        return mSteps;
    }

    /** Whether a model is on its way in. */
    boolean isLoading(String model) {
        return mSteps.loadingModels().contains(model);
    }

    /** Whether a model is on its way out. */
    boolean isUnloading(String model) {
        return mSteps.isUnloading(model);
    }

    /** When the orders given and waiting are expected to be done. */
    long readyMillis(long nowMillis) {
        return Math.max(nowMillis, mBusyUntilMillis) + mSteps.queuedMillis();
    }

    /** Adds a step to be ordered. */
    void enqueue(PlannedOrder step) {
        mSteps.queued().add(step);
    }

    /** Reads the engine's report before anything else is ordered. */
    void requireReport() {
        mMustRead = true;
    }

    /** Does what is due. */
    void advance(long nowMillis) {
        Optional<PlannedOrder> underWay = mSteps.running();
        if (underWay.isPresent() && nowMillis >= mLookMillis) {
            if (underWay.get().readsStore()) {
                // The store slows down under many loads, so only a report tells the end.
                mMustRead = true;
            } else {
                finished(underWay.get(), nowMillis);
            }
        }
        if (mCalling || nowMillis < mNextCallMillis) {
            return;
        }
        if (mMustRead || mSteps.unconfirmed().isPresent()) {
            read();
        } else if (!mSteps.queued().isEmpty() && mSteps.running().isEmpty()) {
            order(mSteps.queued().peek());
        }
    }

    private void read() {
        mCalling = true;
        mEngines.report(mServer)
                .observeOn(mControl)
                .subscribe(
                        report -> {
                            mCalling = false;
                            mFailures = 0;
                            onReport(report, now());
                        },
                        e -> {
                            mCalling = false;
                            failed();
                        });
    }

    private void failed() {
        mNextCallMillis =
                now() + Math.min(LAST_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(mFailures, 5));
        mFailures++;
        mListener.onStateChanged(this);
    }

    private void onReport(EngineReport report, long nowMillis) {
        if (report.startedMillis() != 0
                && report.startedMillis() != mServer.incarnation().startedMillis()) {
            // Another life answers; the directory will say so too.
            failed();
            return;
        }
        if (mKnown && report.acceptedOrders() < mOrders || report.busy()) {
            mNextCallMillis = nowMillis + POLL_MILLIS;
            mMustRead = true;
            return;
        }
        mMustRead = false;
        mKnown = true;
        mConflicts = 0;
        Optional<PlannedOrder> unsettled = mSteps.unconfirmed();
        boolean accepted = report.acceptedOrders() > mOrders;
        mOrders = report.acceptedOrders();
        adopt(report, nowMillis);
        mSteps.setRunning(Optional.empty());
        mSteps.setUnconfirmed(Optional.empty());
        mBusyUntilMillis = nowMillis;
        if (unsettled.isPresent() && !accepted) {
            // Sent once more under the same number, so that the lost order can never act later.
            mSteps.queued().addFirst(unsettled.get());
        } else if (accepted) {
            // Somebody else's order, or one that was taken for lost: what was planned is void.
            mSteps.queued().clear();
        }
        mListener.onStateChanged(this);
        advance(nowMillis);
    }

    private void adopt(EngineReport report, long nowMillis) {
        mModels.keySet().retainAll(report.models().keySet());
        report.models()
                .forEach(
                        (model, adapters) -> {
                            Set<String> all = new HashSet<>(adapters);
                            String prefix = model + "/";
                            report.pendingAdapters().stream()
                                    .filter(name -> name.startsWith(prefix))
                                    .forEach(name -> all.add(name.substring(prefix.length())));
                            held(model).replaceNames(all, nowMillis);
                        });
        mCopies.update(report);
    }

    private HeldAdapters held(String model) {
        return mModels.computeIfAbsent(model, key -> new HeldAdapters());
    }

    private void order(PlannedOrder step) {
        Optional<EngineListener.Term> term = mListener.term();
        if (term.isEmpty()) {
            return;
        }
        mCalling = true;
        ServerOrder order =
                new ServerOrder(
                        step.load(),
                        step.model(),
                        step.adapter(),
                        mOrders,
                        term.get().holder(),
                        term.get().fencingNumber());
        mEngines.order(mServer, order)
                .observeOn(mControl)
                .subscribe(
                        reply -> {
                            mCalling = false;
                            mListener.onOrderReply(mServer, order, reply);
                            onReply(step, reply, now());
                        });
    }

    private void onReply(PlannedOrder step, OrderReply reply, long nowMillis) {
        if (reply instanceof OrderReply.Accepted) {
            mSteps.queued().poll();
            mFailures = 0;
            mOrders++;
            begun(step, nowMillis);
        } else if (reply instanceof OrderReply.AlreadyInEffect) {
            mSteps.queued().poll();
            mFailures = 0;
            finished(step, nowMillis);
            mMustRead = step.adapter().isEmpty() || step.load();
            mOrders += mMustRead ? 0 : 1;
        } else if (reply instanceof OrderReply.Unconfirmed) {
            mSteps.queued().poll();
            mSteps.setUnconfirmed(Optional.of(step));
            failed();
        } else if (reply instanceof OrderReply.Fenced) {
            mSteps.queued().clear();
            mMustRead = true;
            mListener.onFenced();
        } else if (reply instanceof OrderReply.NotSent) {
            failed();
        } else if (reply instanceof OrderReply.Conflict) {
            conflicted(nowMillis);
        } else {
            mSteps.queued().clear();
            mMustRead = true;
            mNextCallMillis = nowMillis + POLL_MILLIS;
        }
        mListener.onStateChanged(this);
        advance(nowMillis);
    }

    /**
     * An unload waits for its calls, and reports lag: the order is tried again instead, unless the
     * count of orders differs, which only a report tells.
     */
    private void conflicted(long nowMillis) {
        mConflicts++;
        mMustRead = mConflicts % CONFLICTS_READ == 0;
        long pause = Math.max(CONFLICT_MILLIS, (mBusyUntilMillis - nowMillis) / 3);
        mNextCallMillis = nowMillis + Math.min(LAST_CONFLICT_MILLIS, pause);
        mBusyUntilMillis = Math.max(mBusyUntilMillis, mNextCallMillis);
    }

    private void begun(PlannedOrder step, long nowMillis) {
        mConflicts = 0;
        if (step.adapter().isEmpty()) {
            mSteps.setRunning(Optional.of(step));
            mBusyUntilMillis = nowMillis + step.expectedMillis();
            mLookMillis =
                    nowMillis
                            + (step.load() ? step.expectedMillis() : UNLOAD_MILLIS)
                            + DONE_SLACK_MILLIS;
            if (!step.load()) {
                mModels.remove(step.model());
            }
        } else if (step.load()) {
            held(step.model()).put(step.adapter().get(), nowMillis + step.expectedMillis());
        } else {
            held(step.model()).remove(step.adapter().get());
        }
    }

    private void finished(PlannedOrder step, long nowMillis) {
        mSteps.setRunning(Optional.empty());
        if (step.adapter().isPresent()) {
            if (step.load()) {
                held(step.model()).put(step.adapter().get(), nowMillis);
            } else if (mModels.containsKey(step.model())) {
                held(step.model()).remove(step.adapter().get());
            }
        } else if (step.load()) {
            held(step.model());
            mCopies.recordLoad(step.model(), step.megabytes());
        } else {
            mModels.remove(step.model());
        }
        mListener.onStateChanged(this);
    }

    private long now() {
        return mControl.now(java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
