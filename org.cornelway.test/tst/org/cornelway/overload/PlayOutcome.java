package org.cornelway.overload;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.cornelway.overload.PlayedLoad.Arrival;

/** What the callers of a played load got, by kind and by customer. */
final class PlayOutcome {
    /** What a late call is worth in relation to one in time, as in the loss of a delay. */
    private static final double LATE_WORTH = 0.2;

    private final Map<String, Counts> mKinds = new TreeMap<>();
    private final Map<String, Counts> mCustomers = new TreeMap<>();

    /** The calls within their customers' usual load. */
    private final Map<String, Counts> mUsual = new TreeMap<>();

    private final Counts mAll = new Counts();

    /** Counts of a group of calls. */
    static final class Counts {
        private int mAsked;
        private int mServed;
        private int mInTime;
        private int mRefused;
        private int mAbandoned;
        private double mWeightAsked;
        private double mWeight;
        private double mValueAsked;
        private double mValue;

        int asked() {
            return mAsked;
        }

        int refused() {
            return mRefused;
        }

        int abandoned() {
            return mAbandoned;
        }

        double servedShare() {
            return mAsked == 0 ? 1 : mServed / (double) mAsked;
        }

        double inTimeShare() {
            return mAsked == 0 ? 1 : mInTime / (double) mAsked;
        }

        /** Share of the calls' worth that was lost, weighted by priority. */
        double weightedLoss() {
            return mWeightAsked == 0 ? 0 : 1 - mWeight / mWeightAsked;
        }

        /** Share of the calls' value to their callers that was lost. */
        double valueLoss() {
            return mValueAsked == 0 ? 0 : 1 - mValue / mValueAsked;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "asked %5d  served %5.1f %%  in time %5.1f %%  refused %5d  abandoned %5d"
                            + "  lost by priority %5.1f %%  value lost %5.1f %%",
                    mAsked,
                    100 * servedShare(),
                    100 * inTimeShare(),
                    mRefused,
                    mAbandoned,
                    100 * weightedLoss(),
                    100 * valueLoss());
        }
    }

    private void forEach(Arrival arrival, java.util.function.Consumer<Counts> change) {
        change.accept(mAll);
        change.accept(kind(arrival.kind().name()));
        change.accept(customer(arrival.customer()));
        if (!arrival.isExtra()) {
            change.accept(usual(arrival.customer()));
        }
    }

    void recordAsked(Arrival arrival) {
        forEach(
                arrival,
                counts -> {
                    counts.mAsked++;
                    counts.mValueAsked += arrival.kind().value();
                    counts.mWeightAsked += CallLoss.weight(arrival.kind().priority());
                });
    }

    void recordBegun(Arrival arrival, long millis) {
        boolean inTime = millis - arrival.arrivedMillis() <= arrival.kind().objectiveMillis();
        forEach(
                arrival,
                counts -> {
                    counts.mServed++;
                    counts.mInTime += inTime ? 1 : 0;
                    counts.mWeight +=
                            CallLoss.weight(arrival.kind().priority()) * (inTime ? 1 : LATE_WORTH);
                    counts.mValue += inTime ? arrival.kind().value() : arrival.kind().lateValue();
                });
    }

    void recordRefused(Arrival arrival) {
        forEach(arrival, counts -> counts.mRefused++);
    }

    void recordAbandoned(Arrival arrival) {
        forEach(arrival, counts -> counts.mAbandoned++);
    }

    Counts all() {
        return mAll;
    }

    Counts kind(String name) {
        return mKinds.computeIfAbsent(name, missing -> new Counts());
    }

    Counts customer(String name) {
        return mCustomers.computeIfAbsent(name, missing -> new Counts());
    }

    /** Returns the calls of a customer that it would have asked for without a burst. */
    Counts usual(String customer) {
        return mUsual.computeIfAbsent(customer, missing -> new Counts());
    }

    Map<String, Counts> kinds() {
        return mKinds;
    }

    Map<String, Counts> customers() {
        return mCustomers;
    }

    /** Returns the figures for a person to read. */
    String describe() {
        StringBuilder text = new StringBuilder("  all        " + mAll + "\n");
        mKinds.forEach((name, counts) -> text.append(String.format("  %-10s %s%n", name, counts)));
        if (mCustomers.size() > 1) {
            mCustomers.forEach(
                    (name, counts) -> text.append(String.format("  %-10s %s%n", name, counts)));
        }
        return text.toString();
    }
}
