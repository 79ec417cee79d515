package org.cornelway.standin;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A store that hands out a few checkpoints at full speed and slows down beyond that.
 *
 * <p>Confined to one event loop.
 */
public final class WeightStoreStandin {
    private static final int FULL_SPEED_LOADS = 4;

    private final Vertx mVertx;
    private final double mLoadsPerSecond;
    private final Queue<Runnable> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private double mSlowFactor = 1;
    private long mLoads;

    /**
     * @param loadsPerSecond loads that all engines together get in a second
     */
    public WeightStoreStandin(Vertx vertx, double loadsPerSecond) {
        mVertx = vertx;
        mLoadsPerSecond = loadsPerSecond;
    }

    /** Calls back once a load that started now has ended. */
    public void load(Runnable done) {
        if (mRunning >= FULL_SPEED_LOADS) {
            mWaiting.add(done);
            return;
        }
        mRunning++;
        mLoads++;
        long millis = Math.round(FULL_SPEED_LOADS * 1_000 / mLoadsPerSecond * mSlowFactor);
        mVertx.setTimer(Math.max(1, millis), timer -> ended(done));
    }

    private void ended(Runnable done) {
        mRunning--;
        done.run();
        Runnable next = mWaiting.poll();
        if (next != null) {
            load(next);
        }
    }

    /** Makes each load take longer by a factor. */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /** Loads started so far. */
    public long loads() {
        return mLoads;
    }
}
