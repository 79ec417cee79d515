package org.cornelway.standin;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A checkpoint store that serves a limited number of concurrent loads and queues the others.
 *
 * <p>Confined to one event loop.
 */
public final class CheckpointStoreStandin {
    private static final int MAX_CONCURRENT_LOADS = 4;

    private final Vertx mVertx;
    private final double mLoadsPerSecond;
    private final Queue<Runnable> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private double mSlowFactor = 1;
    private long mLoads;

    /**
     * @param loadsPerSecond maximum load rate of all engines together
     */
    public CheckpointStoreStandin(Vertx vertx, double loadsPerSecond) {
        mVertx = vertx;
        mLoadsPerSecond = loadsPerSecond;
    }

    /** Starts a load, or queues it; calls back when it has completed. */
    public void load(Runnable done) {
        if (mRunning >= MAX_CONCURRENT_LOADS) {
            mWaiting.add(done);
            return;
        }
        mRunning++;
        mLoads++;
        long millis = Math.round(MAX_CONCURRENT_LOADS * 1_000 / mLoadsPerSecond * mSlowFactor);
        mVertx.setTimer(Math.max(1, millis), timer -> finish(done));
    }

    private void finish(Runnable done) {
        mRunning--;
        done.run();
        Runnable next = mWaiting.poll();
        if (next != null) {
            load(next);
        }
    }

    /** Sets the factor that the duration of each load is multiplied by. */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /** The number of loads started so far. */
    public long loads() {
        return mLoads;
    }
}
