package org.cornelway.models;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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
 * An engine in virtual time whose disk and host memory keep the weights that it used last.
 *
 * <p>It carries out one order at a time and serves its models meanwhile. An unload waits until the
 * calls to its model have ended. Loads from the checkpoint store share the store's throughput.
 */
final class CachingEngine implements EngineControl {
    private static final int REPLY_MILLIS = 5;

    private final TestScheduler mTime;
    private final String mId;
    private final FleetScenario mScenario;
    private final SharedStore mStore;
    private final Map<String, Integer> mCalls = new HashMap<>();
    private final Set<String> mModels = new HashSet<>();
    private final Deque<String> mDisk = new ArrayDeque<>();
    private final Deque<String> mMemory = new ArrayDeque<>();
    private final Map<WeightSource, Integer> mLoads = new HashMap<>();
    private String mUnloading = "";
    private boolean mBusy;
    private long mAcceptedOrders;
    private int mOvercommits;
    private int mActive;

    /** The loads from the checkpoint store that are in progress; they share its throughput. */
    static final class SharedStore {
        private final int mFullSpeed;
        private final List<Reading> mReadings = new ArrayList<>();

        private static final class Reading {
            private double mRemainingMillis;
            private final Runnable mFinish;

            private Reading(double remainingMillis, Runnable finish) {
                mRemainingMillis = remainingMillis;
                mFinish = finish;
            }
        }

        SharedStore(int fullSpeed) {
            mFullSpeed = fullSpeed;
        }

        private void begin(long millis, Runnable finish) {
            mReadings.add(new Reading(millis, finish));
        }

        void advance(long millis) {
            double share = Math.min(1, mFullSpeed / (double) mReadings.size());
            mReadings.forEach(reading -> reading.mRemainingMillis -= share * millis);
            List<Reading> ended =
                    mReadings.stream().filter(reading -> reading.mRemainingMillis <= 0).toList();
            mReadings.removeAll(ended);
            ended.forEach(reading -> reading.mFinish.run());
        }
    }

    CachingEngine(TestScheduler time, String id, FleetScenario scenario, SharedStore store) {
        mTime = time;
        mId = id;
        mScenario = scenario;
        mStore = store;
    }

    /** Puts a model into the engine's memory and on its disk. */
    void hold(String model) {
        mModels.add(model);
        putOnDisk(model);
    }

    void putOnDisk(String model) {
        use(mDisk, model, FleetScenario.DISK_MODELS);
    }

    boolean isFull() {
        return mModels.size() >= mScenario.places();
    }

    boolean holds(String model) {
        return mModels.contains(model);
    }

    boolean hasOnDisk(String model) {
        return mDisk.contains(model);
    }

    /** Whether a call to a model can begin here now. */
    boolean canServe(String model) {
        return mModels.contains(model) && !mUnloading.equals(model) && mActive < mScenario.slots();
    }

    int active() {
        return mActive;
    }

    int overcommits() {
        return mOvercommits;
    }

    int loads(WeightSource source) {
        return mLoads.getOrDefault(source, 0);
    }

    Map<String, Integer> calls() {
        return mCalls;
    }

    void beginCall(String model) {
        mActive++;
        mCalls.merge(model, 1, Integer::sum);
    }

    void endCall(String model) {
        mActive--;
        mCalls.merge(model, -1, Integer::sum);
        finishUnload();
    }

    private void finishUnload() {
        if (!mUnloading.isEmpty() && mCalls.getOrDefault(mUnloading, 0) == 0) {
            mModels.remove(mUnloading);
            mUnloading = "";
            mBusy = false;
        }
    }

    private static void use(Deque<String> cache, String model, int capacity) {
        cache.remove(model);
        cache.addLast(model);
        while (cache.size() > capacity) {
            cache.removeFirst();
        }
    }

    ServerRecord record() {
        return new ServerRecord(
                new ServerIncarnation(mId, 1),
                "s",
                "127.0.0.1",
                1,
                "z",
                mScenario.slots(),
                false,
                1,
                Map.of(),
                Set.of(),
                new LinkedHashSet<>(mDisk));
    }

    private Map<String, Set<String>> heldModels() {
        Map<String, Set<String>> held = new HashMap<>();
        mModels.forEach(model -> held.put(model, Set.of()));
        return held;
    }

    @Override
    public Single<EngineReport> report(ServerRecord server) {
        return Single.timer(REPLY_MILLIS, TimeUnit.MILLISECONDS, mTime)
                .map(
                        tick ->
                                new EngineReport(
                                        1,
                                        mAcceptedOrders,
                                        mBusy,
                                        heldModels(),
                                        Set.of(),
                                        new LinkedHashSet<>(mMemory),
                                        new LinkedHashSet<>(mDisk),
                                        mActive,
                                        0));
    }

    @Override
    public Single<OrderReply> order(ServerRecord server, ServerOrder order, SendPermit permit) {
        return Single.timer(REPLY_MILLIS, TimeUnit.MILLISECONDS, mTime).map(tick -> execute(order));
    }

    private OrderReply execute(ServerOrder order) {
        if (mBusy || order.expectedOrders() != mAcceptedOrders) {
            return new OrderReply.Conflict();
        }
        mAcceptedOrders++;
        mBusy = true;
        if (order.isLoad()) {
            load(order.model());
        } else {
            mUnloading = order.model();
            finishUnload();
        }
        return new OrderReply.Accepted();
    }

    private void load(String model) {
        mOvercommits += isFull() && !holds(model) ? 1 : 0;
        WeightSource source =
                mMemory.contains(model)
                        ? WeightSource.MEMORY
                        : mDisk.contains(model) ? WeightSource.DISK : WeightSource.STORE;
        mLoads.merge(source, 1, Integer::sum);
        if (source == WeightSource.STORE) {
            mStore.begin(mScenario.loads().store(), () -> finishLoad(model));
            return;
        }
        long millis =
                source == WeightSource.MEMORY
                        ? mScenario.loads().memory()
                        : mScenario.loads().disk();
        mTime.scheduleDirect(() -> finishLoad(model), millis, TimeUnit.MILLISECONDS);
    }

    private void finishLoad(String model) {
        mBusy = false;
        hold(model);
        use(mMemory, model, FleetScenario.MEMORY_MODELS);
    }
}
