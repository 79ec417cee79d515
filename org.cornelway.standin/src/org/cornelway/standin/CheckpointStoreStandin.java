package org.cornelway.standin;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A simulated checkpoint store that serves a limited number of concurrent loads and queues the
 * others.
 *
 * <p>Confined to one event loop.
 */
public final class CheckpointStoreStandin {
    private static final int MAX_CONCURRENT_LOADS = 4;

    private final Vertx mVertx;
    private final double mLoadsPerSecond;
    private final Queue<Runnable> mQueuedLoads = new ArrayDeque<>();
    private int mRunningLoads;
    private double mSlowFactor = 1;
    private long mStartedLoads;

    /**
     * @param loadsPerSecond maximum rate at which the loads of all engines together complete
     */
    public CheckpointStoreStandin(Vertx vertx, double loadsPerSecond) {
        mVertx = vertx;
        mLoadsPerSecond = loadsPerSecond;
    }

    /**
     * Starts a load, or queues it while the maximum number of loads is running.
     *
     * @param onComplete called when the load has completed
     */
    public void load(Runnable onComplete) {
        if (mRunningLoads >= MAX_CONCURRENT_LOADS) {
            mQueuedLoads.add(onComplete);
            return;
        }
        mRunningLoads++;
        mStartedLoads++;
        long millis = Math.round(MAX_CONCURRENT_LOADS * 1_000 / mLoadsPerSecond * mSlowFactor);
        mVertx.setTimer(Math.max(1, millis), timer -> finish(onComplete));
    }

    private void finish(Runnable onComplete) {
        mRunningLoads--;
        onComplete.run();
        Runnable next = mQueuedLoads.poll();
        if (next != null) {
            load(next);
        }
    }

    /** Sets the factor by which the duration of each load that starts from now on is multiplied. */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /** The number of loads started so far. */
    public long startedLoadCount() {
        return mStartedLoads;
    }
}
