package org.cornelway.models;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;

/**
 * Simulates an engine in virtual time. Some orders get no reply and are executed late or never.
 *
 * <p>A load that the engine accepts while its memory is full counts as an overcommit; tests assert
 * that there is none.
 */
final class SimulatedEngine implements EngineControl {
    /** Memory that each model takes. */
    static final double MODEL_MEGABYTES = 100;

    /** Time to load a model of which the engine has a cached copy. */
    static final long CACHED_LOAD_MILLIS = 60;

    /** Time to load a model from the checkpoint store. */
    static final long STORE_LOAD_MILLIS = 600;

    /** Models of which the engine has cached copies. */
    static final Set<String> CACHED_MODELS = Set.of("m1", "m2", "m3", "m4");

    private final TestScheduler mTime;
    private final Random mRandom;
    private final double mLossRate;
    private final int mCapacityModels;
    private final Map<String, Set<String>> mModels = new HashMap<>();
    private long mAcceptedOrders;
    private boolean mBusy;
    private int mOvercommits;
    private int mReportReads;
    private long mDrainMillis;
    private boolean mReadingStore;

    /**
     * @param lossRate share of the orders that get no reply, 0 to 1
     * @param capacityModels number of models that fit into the memory
     * @param models models that are loaded at first
     */
    SimulatedEngine(
            TestScheduler time, long seed, double lossRate, int capacityModels, String... models) {
        mTime = time;
        mRandom = new Random(seed);
        mLossRate = lossRate;
        mCapacityModels = capacityModels;
        for (String model : models) {
            mModels.put(model, new HashSet<>());
        }
    }

    static ServerRecord record() {
        return record("e");
    }

    /** Returns the announcement of a server with a simulated engine. */
    static ServerRecord record(String id) {
        return new ServerRecord(
                new ServerIncarnation(id, 1),
                "s",
                "127.0.0.1",
                1,
                "z",
                8,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    Set<String> models() {
        return mModels.keySet();
    }

    /** Sets the time that an unload waits for active calls. */
    void setDrainMillis(long millis) {
        mDrainMillis = millis;
    }

    /** Returns the number of requests for a report so far. */
    int reportReads() {
        return mReportReads;
    }

    /** Returns the number of orders that the engine has accepted. */
    long acceptedOrders() {
        return mAcceptedOrders;
    }

    /** Whether the engine is loading a model from the checkpoint store. */
    boolean isReadingStore() {
        return mReadingStore;
    }

    int overcommits() {
        return mOvercommits;
    }

    @Override
    public Single<EngineReport> report(ServerRecord server) {
        mReportReads++;
        return Single.timer(2, TimeUnit.MILLISECONDS, mTime)
                .map(
                        tick ->
                                new EngineReport(
                                        1,
                                        mAcceptedOrders,
                                        mBusy,
                                        new HashMap<>(mModels),
                                        Set.of(),
                                        Set.of(),
                                        CACHED_MODELS,
                                        0,
                                        0));
    }

    @Override
    public Single<OrderReply> order(ServerRecord server, ServerOrder order, SendPermit permit) {
        if (mRandom.nextDouble() < mLossRate) {
            long delayMillis = 100 + mRandom.nextInt(3_000);
            if (mRandom.nextBoolean()) {
                mTime.scheduleDirect(() -> execute(order), delayMillis, TimeUnit.MILLISECONDS);
            }
            return Single.timer(400, TimeUnit.MILLISECONDS, mTime)
                    .map(tick -> new OrderReply.Unconfirmed("lost"));
        }
        return Single.timer(2, TimeUnit.MILLISECONDS, mTime).map(tick -> execute(order));
    }

    private OrderReply execute(ServerOrder order) {
        if (mBusy || order.expectedOrders() != mAcceptedOrders) {
            return new OrderReply.Conflict();
        }
        mAcceptedOrders++;
        if (!order.isLoad()) {
            unload(order.model());
            return new OrderReply.Accepted();
        }
        if (mModels.size() >= mCapacityModels && !mModels.containsKey(order.model())) {
            mOvercommits++;
        }
        mBusy = true;
        mReadingStore = !CACHED_MODELS.contains(order.model());
        mTime.scheduleDirect(
                () -> {
                    mBusy = false;
                    mReadingStore = false;
                    mModels.put(order.model(), new HashSet<>());
                },
                mReadingStore ? STORE_LOAD_MILLIS : CACHED_LOAD_MILLIS,
                TimeUnit.MILLISECONDS);
        return new OrderReply.Accepted();
    }

    private void unload(String model) {
        if (mDrainMillis == 0) {
            mModels.remove(model);
            return;
        }
        mBusy = true;
        mTime.scheduleDirect(
                () -> {
                    mBusy = false;
                    mModels.remove(model);
                },
                mDrainMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Returns an engine whose reports all fail; an order to it fails the test. */
    static EngineControl unresponsive() {
        return new EngineControl() {
            @Override
            public Single<EngineReport> report(ServerRecord server) {
                return Single.error(new IOException("silent"));
            }

            @Override
            public Single<OrderReply> order(
                    ServerRecord server, ServerOrder order, SendPermit permit) {
                throw new AssertionError("an order was sent before a report was read");
            }
        };
    }
}
