package org.cornelway.models;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
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

    private static final double SECOND_MILLIS = 1_000;

    private final Map<String, Rate> mRates = new HashMap<>();
    private final Map<String, Report> mReports = new HashMap<>();

    /** Calls with exponentially decaying weight. */
    private static final class Rate {
        private double mWeight;
        private long mMillis;
    }

    /** The last report of one entry. */
    private record Report(long millis, List<ModelUsage.Use> uses) {}

    /** Takes over an entry's report. */
    public void report(String entry, List<ModelUsage.Use> uses, long nowMillis) {
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

    /** Calls under way on a server with a model. */
    public int active(String server, String model, long nowMillis) {
        return sum(nowMillis, server, use -> use.target().model().equals(model));
    }

    /** Calls under way on a server with one adapter. */
    public int active(String server, ModelTarget target, long nowMillis) {
        return sum(nowMillis, server, use -> use.target().equals(target));
    }

    /** Calls under way with a model on all servers. */
    public int activeAnywhere(String model, long nowMillis) {
        return uses(nowMillis)
                .filter(use -> use.target().model().equals(model))
                .mapToInt(ModelUsage.Use::active)
                .sum();
    }

    /** Calls under way on a server. */
    public int active(String server, long nowMillis) {
        return sum(nowMillis, server, use -> true);
    }

    private int sum(
            long nowMillis, String server, java.util.function.Predicate<ModelUsage.Use> which) {
        return uses(nowMillis)
                .filter(use -> use.server().equals(server) && which.test(use))
                .mapToInt(ModelUsage.Use::active)
                .sum();
    }

    private Stream<ModelUsage.Use> uses(long nowMillis) {
        return mReports.values().stream()
                .filter(report -> nowMillis - report.millis() <= REPORT_AGE_MILLIS)
                .flatMap(report -> report.uses().stream());
    }
}
