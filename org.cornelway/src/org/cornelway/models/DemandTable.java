package org.cornelway.models;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/**
 * Computes the demand for each model from the usage reports of all entries.
 *
 * <p>Invariant: the counts are the sums over the last reports of all entries that have not expired.
 * A report changes only the counts of the calls that it and the previous one of its entry list.
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

    /** Interval at which reports that have expired are removed. */
    private static final long EXPIRY_INTERVAL_MILLIS = 500;

    /**
     * Lower bound of the expected remaining time of active calls, since calls may have ended or
     * begun after the report.
     */
    private static final long MIN_REMAINING_MILLIS = 150;

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<CountKey, Integer> mActiveCounts = new HashMap<>();

    /** When the active calls of each entry are expected to end, by server and model. */
    private final Map<CountKey, Map<String, Long>> mExpectedEndMillis = new HashMap<>();

    /** The rate that each entry has reported, by model. */
    private final Map<String, Map<String, ModelRate>> mRates = new HashMap<>();

    private Map<String, ModelRate> mRestored = Map.of();
    private long mRestoredMillis;
    private long mNextExpiryMillis;

    /**
     * Key by which calls are counted; an empty component stands for all values. The name of an
     * adapter is preceded by a slash, and a slash alone stands for calls without an adapter.
     */
    private record CountKey(String server, String model, String adapter) {}

    /** The latest report of one entry and its time of arrival. */
    private record Report(long arrivedMillis, ModelUsage.Snapshot usage) {}

    /** Records the latest usage report of an entry, which replaces its previous one. */
    public void recordReport(String entry, ModelUsage.Snapshot usage, long nowMillis) {
        Report report = new Report(nowMillis, usage);
        Report previous = mReports.put(entry, report);
        if (previous != null) {
            remove(entry, previous);
        }
        add(entry, report);
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
        expire(nowMillis);
        ModelRate reported = reportedRate(model);
        ModelRate restored = mRestored.getOrDefault(model, ModelRate.NONE);
        double halfLives = (nowMillis - mRestoredMillis) / RESTORED_HALF_LIFE_MILLIS;
        double decayedCallsPerSecond = restored.callsPerSecond() * Math.pow(0.5, halfLives);
        return decayedCallsPerSecond > reported.callsPerSecond()
                ? new ModelRate(decayedCallsPerSecond, restored.objectiveMillis())
                : reported;
    }

    /** Returns the call rate and latency objective of each model, from reports alone. */
    public Map<String, ModelRate> rates(long nowMillis) {
        expire(nowMillis);
        Map<String, ModelRate> rates = new HashMap<>();
        mRates.keySet().forEach(model -> rates.put(model, reportedRate(model)));
        return rates;
    }

    /** Returns whether the reports show neither active calls nor recent ones. */
    public boolean isIdle(long nowMillis) {
        expire(nowMillis);
        return mRates.isEmpty() && mActiveCounts.isEmpty();
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
        long endMillis =
                mExpectedEndMillis.getOrDefault(key, Map.of()).values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(nowMillis);
        return Math.max(MIN_REMAINING_MILLIS, endMillis - nowMillis);
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
        expire(nowMillis);
        return mActiveCounts.getOrDefault(key, 0);
    }

    private ModelRate reportedRate(String model) {
        return mRates.getOrDefault(model, Map.of()).values().stream()
                .reduce(ModelRate::plus)
                .orElse(ModelRate.NONE);
    }

    /** Removes the reports that have expired, if a check is due. */
    private void expire(long nowMillis) {
        if (nowMillis < mNextExpiryMillis) {
            return;
        }
        mNextExpiryMillis = nowMillis + EXPIRY_INTERVAL_MILLIS;
        List<String> expired =
                mReports.keySet().stream().filter(entry -> isExpired(entry, nowMillis)).toList();
        expired.forEach(entry -> remove(entry, mReports.remove(entry)));
    }

    private boolean isExpired(String entry, long nowMillis) {
        return nowMillis - mReports.get(entry).arrivedMillis() > MAX_REPORT_AGE_MILLIS;
    }

    private void add(String entry, Report report) {
        report.usage()
                .rates()
                .forEach(
                        (model, rate) ->
                                mRates.computeIfAbsent(model, key -> new HashMap<>())
                                        .put(entry, rate));
        for (ModelUsage.ActiveCalls calls : report.usage().activeCalls()) {
            if (calls.count() > 0) {
                mExpectedEndMillis
                        .computeIfAbsent(onServer(calls), key -> new HashMap<>())
                        .merge(entry, report.arrivedMillis() + calls.remainingMillis(), Math::max);
            }
            addActive(calls, calls.count());
        }
    }

    /** Takes back what {@link #add} has added for a report. */
    private void remove(String entry, Report report) {
        report.usage().rates().keySet().forEach(model -> removeFrom(mRates, model, entry));
        for (ModelUsage.ActiveCalls calls : report.usage().activeCalls()) {
            removeFrom(mExpectedEndMillis, onServer(calls), entry);
            addActive(calls, -calls.count());
        }
    }

    private static <K, V> void removeFrom(Map<K, Map<String, V>> map, K key, String entry) {
        Map<String, V> byEntry = map.getOrDefault(key, new HashMap<>());
        byEntry.remove(entry);
        if (byEntry.isEmpty()) {
            map.remove(key);
        }
    }

    private static CountKey onServer(ModelUsage.ActiveCalls calls) {
        return new CountKey(calls.server(), calls.target().model(), "");
    }

    /** Adds a number of active calls, which may be negative, to all counts that they belong to. */
    private void addActive(ModelUsage.ActiveCalls calls, int change) {
        String model = calls.target().model();
        addActive(new CountKey(calls.server(), model, "/" + calls.target().adapter()), change);
        addActive(onServer(calls), change);
        addActive(new CountKey("", model, ""), change);
        addActive(new CountKey(calls.server(), "", ""), change);
    }

    private void addActive(CountKey key, int change) {
        int count = mActiveCounts.getOrDefault(key, 0) + change;
        if (count == 0) {
            mActiveCounts.remove(key);
        } else {
            mActiveCounts.put(key, count);
        }
    }
}
