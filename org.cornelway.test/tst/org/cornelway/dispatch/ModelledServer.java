package org.cornelway.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.traffic.ReportedLoad;

/**
 * A plain server or an engine in virtual time, in steps of one millisecond. Calls that find no free
 * slot or no memory wait; an engine preempts the newest of the least urgent calls when its memory
 * runs out, and refuses calls when its queue is long.
 */
final class ModelledServer {
    private static final int HISTORY = 256;

    final ServerRecord mRecord;
    final long mTokenCapacity;
    final List<ModelledCall> mRunning = new ArrayList<>();
    final List<ModelledCall> mWaiting = new ArrayList<>();
    int mPreemptions;
    int mRefusals;
    private final double mSlowness;
    private final ReportedLoad[] mHistory = new ReportedLoad[HISTORY];
    private final Set<Integer> mCachedPrompts = new HashSet<>();
    private long mSlowUntil;

    /**
     * @param tokenCapacity tokens that the memory holds; 0 for a plain server
     * @param slowness multiple of the usual time that work takes while the server is slow
     */
    ModelledServer(String id, int slots, long tokenCapacity, double slowness) {
        mRecord =
                new ServerRecord(
                        new ServerIncarnation(id, 1),
                        tokenCapacity > 0 ? "engines" : "plain",
                        "127.0.0.1",
                        1,
                        "z",
                        slots,
                        false,
                        1,
                        Map.of(),
                        Set.of(),
                        Set.of());
        mTokenCapacity = tokenCapacity;
        mSlowness = slowness;
    }

    int requests() {
        return mRunning.size() + mWaiting.size();
    }

    /** Takes a call, or refuses it. */
    boolean accept(ModelledCall call) {
        if (mTokenCapacity > 0 && mWaiting.size() >= mRecord.slots() / 2) {
            mRefusals++;
            return false;
        }
        if (call.mAffinity != 0 && !mCachedPrompts.add(call.mAffinity)) {
            call.useCachedPrompt();
        }
        mWaiting.add(call);
        return true;
    }

    void cancel(ModelledCall call) {
        mRunning.remove(call);
        mWaiting.remove(call);
    }

    /** Returns the load at an earlier time, up to a quarter of a second ago. */
    ReportedLoad loadAt(long millis) {
        ReportedLoad load = mHistory[(int) (Math.max(0, millis) % HISTORY)];
        return load == null ? new ReportedLoad(0, 0, mRecord.slots(), 100) : load;
    }

    /** Advances by a millisecond; the calls that have ended are removed and added to the list. */
    void step(long now, Random random, double slowShare, List<ModelledCall> ended) {
        if (now >= mSlowUntil && random.nextDouble() < startRate(slowShare)) {
            mSlowUntil = now + ModelledLoad.SLOW_MILLIS;
        }
        double slowness = now < mSlowUntil ? mSlowness : 1;
        admit();
        for (int i = mRunning.size() - 1; i >= 0; i--) {
            if (mRunning.get(i).advance(1 / slowness, now)) {
                ended.add(mRunning.remove(i));
            }
        }
        preempt();
        mHistory[(int) (now % HISTORY)] =
                new ReportedLoad(
                        mRunning.size(),
                        mWaiting.size(),
                        mRecord.slots(),
                        (int) Math.round(100 * slowness));
    }

    private static double startRate(double slowShare) {
        return slowShare / (1 - slowShare) / ModelledLoad.SLOW_MILLIS;
    }

    private void admit() {
        if (mWaiting.size() > 1) {
            mWaiting.sort(Comparator.comparingInt(call -> call.mPriority));
        }
        while (!mWaiting.isEmpty()
                && mRunning.size() < mRecord.slots()
                && (mTokenCapacity == 0
                        || tokens() + mWaiting.get(0).tokensHeld() <= mTokenCapacity)) {
            mRunning.add(mWaiting.remove(0));
        }
    }

    private long tokens() {
        return mRunning.stream().mapToLong(ModelledCall::tokensHeld).sum();
    }

    private void preempt() {
        if (mTokenCapacity == 0) {
            return;
        }
        long tokens = tokens();
        while (tokens > mTokenCapacity && mRunning.size() > 1) {
            ModelledCall victim = mRunning.get(0);
            for (ModelledCall call : mRunning) {
                victim = call.mPriority >= victim.mPriority ? call : victim;
            }
            mRunning.remove(victim);
            tokens -= victim.tokensHeld();
            victim.preempt();
            mWaiting.add(0, victim);
            mPreemptions++;
        }
    }
}
