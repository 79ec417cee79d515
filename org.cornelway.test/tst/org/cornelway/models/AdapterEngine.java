package org.cornelway.models;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;

/**
 * Simulates an engine in virtual time that holds one model and a limited number of adapters.
 *
 * <p>The unload of an adapter that is in use is accepted, and the adapter keeps its place until the
 * use has ended. A load that is ordered while all places are taken counts as an overcommit.
 */
final class AdapterEngine implements EngineControl {
    static final String MODEL = "m1";

    private static final long REPLY_MILLIS = 2;

    private final TestScheduler mTime;
    private final int mPlaces;
    private final Set<String> mAdapters = new TreeSet<>();
    private final Set<String> mInUse = new HashSet<>();
    private final Set<String> mUnloading = new HashSet<>();
    private long mAcceptedOrders;
    private int mOvercommits;
    private int mReportReads;

    AdapterEngine(TestScheduler time, int places, String... adapters) {
        mTime = time;
        mPlaces = places;
        mAdapters.addAll(Set.of(adapters));
    }

    /** Begins calls to adapters; their unload now waits for {@link #endUse}. */
    void use(String... adapters) {
        mInUse.addAll(Set.of(adapters));
    }

    /** Ends the calls to an adapter. */
    void endUse(String adapter) {
        mInUse.remove(adapter);
        if (mUnloading.remove(adapter)) {
            mAdapters.remove(adapter);
        }
    }

    /** Removes an adapter without an order, as if the engine had lost it. */
    void lose(String adapter) {
        mAdapters.remove(adapter);
    }

    /** The adapters that take a place, also those that are being unloaded. */
    Set<String> adapters() {
        return mAdapters;
    }

    int overcommits() {
        return mOvercommits;
    }

    int reportReads() {
        return mReportReads;
    }

    @Override
    public Single<EngineReport> report(ServerRecord server) {
        mReportReads++;
        return Single.timer(REPLY_MILLIS, TimeUnit.MILLISECONDS, mTime)
                .map(
                        tick ->
                                new EngineReport(
                                        1,
                                        mAcceptedOrders,
                                        false,
                                        Map.of(MODEL, Set.copyOf(mAdapters)),
                                        Set.of(),
                                        Set.of(MODEL),
                                        Set.of(MODEL),
                                        mInUse.size(),
                                        0));
    }

    @Override
    public Single<OrderReply> order(ServerRecord server, ServerOrder order, SendPermit permit) {
        return Single.timer(REPLY_MILLIS, TimeUnit.MILLISECONDS, mTime).map(tick -> execute(order));
    }

    private OrderReply execute(ServerOrder order) {
        if (order.expectedOrders() != mAcceptedOrders) {
            return new OrderReply.Conflict();
        }
        String adapter = order.adapter().orElseThrow();
        return order.isLoad() ? load(adapter) : unload(adapter);
    }

    private OrderReply load(String adapter) {
        if (mAdapters.contains(adapter)) {
            return new OrderReply.AlreadyInEffect();
        }
        mAcceptedOrders++;
        if (mAdapters.size() >= mPlaces) {
            mOvercommits++;
        } else {
            mAdapters.add(adapter);
        }
        return new OrderReply.Accepted();
    }

    private OrderReply unload(String adapter) {
        if (!mAdapters.contains(adapter)) {
            return new OrderReply.AlreadyInEffect();
        }
        mAcceptedOrders++;
        if (mInUse.contains(adapter)) {
            mUnloading.add(adapter);
            return new OrderReply.Accepted();
        }
        mAdapters.remove(adapter);
        return new OrderReply.AlreadyInEffect();
    }
}
