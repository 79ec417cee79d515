package org.cornelway.models;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/**
 * How much each model is in use, from the reports of all entries.
 *
 * <p>Confined to the control thread.
 */
public final class DemandTable {
    /** Time over which an older call's weight halves; demand moves on every few seconds. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** A report that was not renewed for longer does not count. */
    private static final long REPORT_AGE_MILLIS = 2_500;

    /** Time after which counts are made anew, since reports grow old. */
    private static final long RECOUNT_MILLIS = 500;

    /** Calls of a report may have ended since, or new ones begun. */
    private static final long LEAST_REMAINING_MILLIS = 150;

    /** Calls, weighted by age, below which a model counts as not asked for. */
    private static final double IDLE_CALLS = 0.5;

    private static final double SECOND_MILLIS = 1_000;

    private final Map<String, Rate> mRates = new HashMap<>();
    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<Counted, Integer> mCounts = new HashMap<>();
    private final Map<Counted, Long> mEnds = new HashMap<>();
    private boolean mStale;
    private long mRecountMillis;

    /** Calls with exponentially decaying weight. */
    private static final class Rate {
        private double mWeight;
        private long mMillis;
    }

    /** What calls are counted by; an empty part counts all. */
    private record Counted(String server, String model, String adapter) {}

    /** The last report of one entry. */
    private record Report(long millis, List<ModelUsage.Use> uses) {}

    /** Takes over an entry's report. */
    public void report(String entry, List<ModelUsage.Use> uses, long nowMillis) {
        mStale = true;
        mReports.put(entry, new Report(nowMillis, List.copyOf(uses)));
        uses.forEach(use -> add(use.target().model(), use.started(), nowMillis));
    }

    /** Notes calls for a model. */
    public void add(String model, double calls, long nowMillis) {
        Rate rate = mRates.computeIfAbsent(model, key -> new Rate());
        rate.mWeight = decayed(rate, nowMillis) + calls;
        rate.mMillis = nowMillis;
    }

    private static double decayed(Rate rate, long nowMillis) {
        return rate.mWeight * Math.pow(0.5, (nowMillis - rate.mMillis) / HALF_LIFE_MILLIS);
    }

    /** Calls a second for a model. */
    public double rate(String model, long nowMillis) {
        Rate rate = mRates.get(model);
        double perHalfLife = rate == null ? 0 : decayed(rate, nowMillis);
        return perHalfLife * Math.log(2) * SECOND_MILLIS / HALF_LIFE_MILLIS;
    }

    /** Whether no call is under way and none came of late. */
    public boolean isIdle(long nowMillis) {
        return mRates.values().stream().allMatch(rate -> decayed(rate, nowMillis) < IDLE_CALLS)
                && mReports.values().stream()
                        .allMatch(r -> r.uses().stream().allMatch(use -> use.active() == 0));
    }

    /** Calls under way on a server with a model. */
    public int active(String server, String model, long nowMillis) {
        return count(new Counted(server, model, ""), nowMillis);
    }

    /** Time until the calls under way on a server with a model are expected to end; 0 if none. */
    public long remainingMillis(String server, String model, long nowMillis) {
        Counted key = new Counted(server, model, "");
        if (count(key, nowMillis) == 0) {
            return 0;
        }
        return Math.max(LEAST_REMAINING_MILLIS, mEnds.getOrDefault(key, nowMillis) - nowMillis);
    }

    /** Calls under way on a server with one adapter, or with the model alone. */
    public int active(String server, ModelTarget target, long nowMillis) {
        return count(new Counted(server, target.model(), "/" + target.adapter()), nowMillis);
    }

    /** Calls under way with a model on all servers. */
    public int activeAnywhere(String model, long nowMillis) {
        return count(new Counted("", model, ""), nowMillis);
    }

    /** Calls under way on a server. */
    public int active(String server, long nowMillis) {
        return count(new Counted(server, "", ""), nowMillis);
    }

    private int count(Counted key, long nowMillis) {
        if (mStale || nowMillis >= mRecountMillis) {
            recount(nowMillis);
        }
        return mCounts.getOrDefault(key, 0);
    }

    private void recount(long nowMillis) {
        mStale = false;
        mRecountMillis = nowMillis + RECOUNT_MILLIS;
        mCounts.clear();
        mEnds.clear();
        mReports.values().removeIf(report -> nowMillis - report.millis() > REPORT_AGE_MILLIS);
        for (Report report : mReports.values()) {
            for (ModelUsage.Use use : report.uses()) {
                String model = use.target().model();
                String adapter = "/" + use.target().adapter();
                add(new Counted(use.server(), model, adapter), use.active());
                add(new Counted(use.server(), model, ""), use.active());
                if (use.active() > 0) {
                    mEnds.merge(
                            new Counted(use.server(), model, ""),
                            report.millis() + use.remainingMillis(),
                            Math::max);
                }
                add(new Counted("", model, ""), use.active());
                add(new Counted(use.server(), "", ""), use.active());
            }
        }
    }

    private void add(Counted key, int active) {
        mCounts.merge(key, active, Integer::sum);
    }
}
