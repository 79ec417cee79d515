package org.cornelway.models;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/**
 * How much each model is in use, from the reports of all entries.
 *
 * <p>At the start of a term it knows what an earlier controller left in the key-value service,
 * which fades as reports come. Confined to the control thread.
 */
public final class DemandTable {
    /** Time over which demand that was remembered halves; reports replace it soon. */
    private static final double MEMORY_HALF_LIFE_MILLIS = 2_000;

    /** A report that was not renewed for longer does not count. */
    private static final long REPORT_AGE_MILLIS = 2_500;

    /** Time after which counts are made anew, since reports grow old. */
    private static final long RECOUNT_MILLIS = 500;

    /** Calls of a report may have ended since, or new ones begun. */
    private static final long LEAST_REMAINING_MILLIS = 150;

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<Counted, Integer> mCounts = new HashMap<>();
    private final Map<Counted, Long> mEnds = new HashMap<>();
    private final Map<String, ModelRate> mRates = new HashMap<>();
    private Map<String, ModelRate> mRemembered = Map.of();
    private long mRememberedMillis;
    private boolean mStale;
    private long mRecountMillis;

    /** What calls are counted by; an empty part counts all. */
    private record Counted(String server, String model, String adapter) {}

    /** The last report of one entry. */
    private record Report(long millis, ModelUsage.Snapshot usage) {}

    /** Takes over an entry's report. */
    public void report(String entry, ModelUsage.Snapshot usage, long nowMillis) {
        mStale = true;
        mReports.put(entry, new Report(nowMillis, usage));
    }

    /** Takes over what an earlier controller knew. */
    public void restoreRates(Map<String, ModelRate> rates, long nowMillis) {
        mRemembered = Map.copyOf(rates);
        mRememberedMillis = nowMillis;
    }

    /** How callers ask for a model. */
    public ModelRate rate(String model, long nowMillis) {
        refresh(nowMillis);
        ModelRate reported = mRates.getOrDefault(model, ModelRate.NONE);
        ModelRate left = mRemembered.getOrDefault(model, ModelRate.NONE);
        double age = (nowMillis - mRememberedMillis) / MEMORY_HALF_LIFE_MILLIS;
        double remembered = left.callsPerSecond() * Math.pow(0.5, age);
        return remembered > reported.callsPerSecond()
                ? new ModelRate(remembered, left.objectiveMillis())
                : reported;
    }

    /** How callers ask, by model, from reports alone. */
    public Map<String, ModelRate> rates(long nowMillis) {
        refresh(nowMillis);
        return Map.copyOf(mRates);
    }

    /** Whether no call is under way and none came of late. */
    public boolean isIdle(long nowMillis) {
        refresh(nowMillis);
        return mRates.isEmpty() && mCounts.values().stream().allMatch(count -> count == 0);
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
    public int activeOnAllServers(String model, long nowMillis) {
        return count(new Counted("", model, ""), nowMillis);
    }

    /** Calls under way on a server. */
    public int active(String server, long nowMillis) {
        return count(new Counted(server, "", ""), nowMillis);
    }

    private int count(Counted key, long nowMillis) {
        refresh(nowMillis);
        return mCounts.getOrDefault(key, 0);
    }

    private void refresh(long nowMillis) {
        if (!mStale && nowMillis < mRecountMillis) {
            return;
        }
        mStale = false;
        mRecountMillis = nowMillis + RECOUNT_MILLIS;
        mCounts.clear();
        mEnds.clear();
        mRates.clear();
        mReports.values().removeIf(report -> nowMillis - report.millis() > REPORT_AGE_MILLIS);
        mReports.values().forEach(this::count);
    }

    private void count(Report report) {
        report.usage().rates().forEach((model, rate) -> mRates.merge(model, rate, ModelRate::plus));
        for (ModelUsage.ActiveCalls use : report.usage().activeCalls()) {
            String model = use.target().model();
            Counted onServer = new Counted(use.server(), model, "");
            if (use.active() > 0) {
                mEnds.merge(onServer, report.millis() + use.remainingMillis(), Math::max);
            }
            add(new Counted(use.server(), model, "/" + use.target().adapter()), use.active());
            add(onServer, use.active());
            add(new Counted("", model, ""), use.active());
            add(new Counted(use.server(), "", ""), use.active());
        }
    }

    private void add(Counted key, int active) {
        mCounts.merge(key, active, Integer::sum);
    }
}
