package org.cornelway.models;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/**
 * Computes the demand for each model from the usage reports of all entries.
 *
 * <p>At the start of a term it also holds the rates that an earlier controller stored in the
 * key-value service. These decay with time. The rate of a model is the larger of the restored and
 * the reported one. Confined to the control thread.
 */
public final class DemandTable {
    /** Half-life of the restored rates; short, because reports replace them soon. */
    private static final double RESTORED_HALF_LIFE_MILLIS = 2_000;

    /** Age after which a report is ignored if its entry has sent no newer one. */
    private static final long MAX_REPORT_AGE_MILLIS = 2_500;

    /**
     * Interval at which the counts are recomputed even without a new report, since reports expire.
     */
    private static final long RECOUNT_INTERVAL_MILLIS = 500;

    /**
     * Lower bound of the expected remaining time of active calls, since calls may have ended or
     * begun after the report.
     */
    private static final long MIN_REMAINING_MILLIS = 150;

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<CountKey, Integer> mActiveCounts = new HashMap<>();
    private final Map<CountKey, Long> mExpectedEndMillis = new HashMap<>();
    private final Map<String, ModelRate> mRates = new HashMap<>();
    private Map<String, ModelRate> mRestored = Map.of();
    private long mRestoredMillis;
    private boolean mStale;
    private long mNextRecountMillis;

    /**
     * Key by which calls are counted; an empty component stands for all values. The name of an
     * adapter is preceded by a slash, and a slash alone stands for calls without an adapter.
     */
    private record CountKey(String server, String model, String adapter) {}

    /** The latest report of one entry and its time of arrival. */
    private record Report(long arrivedMillis, ModelUsage.Snapshot usage) {}

    /** Records the latest usage report of an entry, which replaces its previous one. */
    public void recordReport(String entry, ModelUsage.Snapshot usage, long nowMillis) {
        mStale = true;
        mReports.put(entry, new Report(nowMillis, usage));
    }

    /** Sets the rates that an earlier controller has stored; they replace any restored before. */
    public void restoreRates(Map<String, ModelRate> rates, long nowMillis) {
        mRestored = Map.copyOf(rates);
        mRestoredMillis = nowMillis;
    }

    /**
     * Returns the call rate and latency objective of a model; {@link ModelRate#NONE} if unknown.
     */
    public ModelRate rate(String model, long nowMillis) {
        refresh(nowMillis);
        ModelRate reported = mRates.getOrDefault(model, ModelRate.NONE);
        ModelRate restored = mRestored.getOrDefault(model, ModelRate.NONE);
        double halfLives = (nowMillis - mRestoredMillis) / RESTORED_HALF_LIFE_MILLIS;
        double decayedCallsPerSecond = restored.callsPerSecond() * Math.pow(0.5, halfLives);
        return decayedCallsPerSecond > reported.callsPerSecond()
                ? new ModelRate(decayedCallsPerSecond, restored.objectiveMillis())
                : reported;
    }

    /** Returns the call rate and latency objective of each model, from reports alone. */
    public Map<String, ModelRate> rates(long nowMillis) {
        refresh(nowMillis);
        return Map.copyOf(mRates);
    }

    /** Returns whether the reports show neither active calls nor recent ones. */
    public boolean isIdle(long nowMillis) {
        refresh(nowMillis);
        return mRates.isEmpty() && mActiveCounts.values().stream().allMatch(count -> count == 0);
    }

    /** Returns the number of active calls to a model on a server. */
    public int activeCalls(String server, String model, long nowMillis) {
        return count(new CountKey(server, model, ""), nowMillis);
    }

    /**
     * Returns the expected time until the active calls to a model on a server end; 0 if there are
     * none.
     */
    public long remainingMillis(String server, String model, long nowMillis) {
        CountKey key = new CountKey(server, model, "");
        if (count(key, nowMillis) == 0) {
            return 0;
        }
        return Math.max(
                MIN_REMAINING_MILLIS, mExpectedEndMillis.getOrDefault(key, nowMillis) - nowMillis);
    }

    /**
     * Returns the number of active calls on a server to one adapter, or to the model without an
     * adapter.
     */
    public int activeCalls(String server, ModelTarget target, long nowMillis) {
        return count(new CountKey(server, target.model(), "/" + target.adapter()), nowMillis);
    }

    /** Returns the number of active calls to a model on all servers. */
    public int totalActiveCalls(String model, long nowMillis) {
        return count(new CountKey("", model, ""), nowMillis);
    }

    /** Returns the number of active calls on a server. */
    public int activeCalls(String server, long nowMillis) {
        return count(new CountKey(server, "", ""), nowMillis);
    }

    private int count(CountKey key, long nowMillis) {
        refresh(nowMillis);
        return mActiveCounts.getOrDefault(key, 0);
    }

    private void refresh(long nowMillis) {
        if (!mStale && nowMillis < mNextRecountMillis) {
            return;
        }
        mStale = false;
        mNextRecountMillis = nowMillis + RECOUNT_INTERVAL_MILLIS;
        mActiveCounts.clear();
        mExpectedEndMillis.clear();
        mRates.clear();
        mReports.values()
                .removeIf(report -> nowMillis - report.arrivedMillis() > MAX_REPORT_AGE_MILLIS);
        mReports.values().forEach(this::addReport);
    }

    private void addReport(Report report) {
        report.usage().rates().forEach((model, rate) -> mRates.merge(model, rate, ModelRate::plus));
        for (ModelUsage.ActiveCalls calls : report.usage().activeCalls()) {
            String model = calls.target().model();
            CountKey onServer = new CountKey(calls.server(), model, "");
            if (calls.count() > 0) {
                mExpectedEndMillis.merge(
                        onServer, report.arrivedMillis() + calls.remainingMillis(), Math::max);
            }
            addActive(
                    new CountKey(calls.server(), model, "/" + calls.target().adapter()),
                    calls.count());
            addActive(onServer, calls.count());
            addActive(new CountKey("", model, ""), calls.count());
            addActive(new CountKey(calls.server(), "", ""), calls.count());
        }
    }

    private void addActive(CountKey key, int active) {
        mActiveCounts.merge(key, active, Integer::sum);
    }
}
