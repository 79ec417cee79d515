package org.cornelway.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The tokens of one customer's calls that reached servers. */
final class Arrivals {
    private final List<Arrival> mArrivals = new ArrayList<>();

    private record Arrival(long atMillis, double tokens) {}

    void add(long atMillis, double tokens) {
        mArrivals.add(new Arrival(atMillis, tokens));
    }

    /** Returns the largest ratio of the tokens in a window to those allowed. */
    double worstWindow(long windowMillis, double allowed) {
        List<Arrival> arrivals =
                mArrivals.stream().sorted(Comparator.comparingLong(Arrival::atMillis)).toList();
        double worst = 0;
        double sum = 0;
        int first = 0;
        for (Arrival last : arrivals) {
            sum += last.tokens();
            while (last.atMillis() - arrivals.get(first).atMillis() > windowMillis) {
                sum -= arrivals.get(first++).tokens();
            }
            worst = Math.max(worst, sum / allowed);
        }
        return worst;
    }
}
