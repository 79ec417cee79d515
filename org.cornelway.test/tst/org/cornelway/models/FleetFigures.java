package org.cornelway.models;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What the callers of a simulated fleet got, by kind of model. */
final class FleetFigures {
    private final Map<Boolean, Counts> mCounts = new HashMap<>();
    private final Map<WeightSource, Integer> mLoads = new TreeMap<>();
    private long mRounds;
    private long mRoundNanos;
    private long mLongestRoundNanos;

    /** Calls of one kind by outcome. */
    static final class Counts {
        int mCalls;
        int mInTime;
        int mLate;
        int mRefused;
        int mRefusedLater;
        int mLost;

        double inTimeShare() {
            return mInTime / (double) mCalls;
        }

        double servedShare() {
            return (mInTime + mLate) / (double) mCalls;
        }

        /** Returns the share of calls that waited long and were not served. */
        double endedAfterWaitShare() {
            return (mRefusedLater + mLost) / (double) mCalls;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "calls %d in time %.3f late %.3f refused %.3f (%.3f after a wait) lost %.3f",
                    mCalls,
                    inTimeShare(),
                    mLate / (double) mCalls,
                    mRefused / (double) mCalls,
                    mRefusedLater / (double) mCalls,
                    mLost / (double) mCalls);
        }
    }

    Counts rare() {
        return mCounts.computeIfAbsent(true, rare -> new Counts());
    }

    Counts popular() {
        return mCounts.computeIfAbsent(false, rare -> new Counts());
    }

    Counts of(boolean isRare) {
        return isRare ? rare() : popular();
    }

    int loads(WeightSource source) {
        return mLoads.getOrDefault(source, 0);
    }

    void addLoads(CachingEngine engine) {
        for (WeightSource source : WeightSource.values()) {
            mLoads.merge(source, engine.loads(source), Integer::sum);
        }
    }

    void recordRound(long nanos) {
        mRounds++;
        mRoundNanos += nanos;
        mLongestRoundNanos = Math.max(mLongestRoundNanos, nanos);
    }

    /** Returns all figures but the durations of rounds. */
    String calls() {
        return "rare: " + rare() + "; popular: " + popular() + "; loads " + mLoads;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s; %d steps of %.2f ms, longest %.1f",
                calls(),
                mRounds,
                mRoundNanos / 1e6 / Math.max(1, mRounds),
                mLongestRoundNanos / 1e6);
    }
}
