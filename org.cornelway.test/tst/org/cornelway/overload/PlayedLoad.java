package org.cornelway.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cornelway.time.Deadline;

/**
 * A load of several kinds of call and customers, with bursts, drawn with a fixed seed. Immutable.
 *
 * @param kinds the kinds of call
 * @param customers sizes of the customers by name; empty if calls belong to none
 * @param bursts times at which a kind or a customer asks for more
 * @param millis length of the load
 */
record PlayedLoad(
        List<Kind> kinds, Map<String, Double> customers, List<Burst> bursts, long millis) {
    /** A customer's quota is this multiple of its usual use. */
    private static final double QUOTA_RATIO = 1.8;

    /**
     * A kind of call. Immutable.
     *
     * @param patienceMillis time after which a caller leaves whose call has not begun
     * @param value what a call is worth to its caller if it begins within its objective
     * @param lateValue what it is worth if it begins later
     */
    record Kind(
            String name,
            int priority,
            double perSecond,
            long objectiveMillis,
            long patienceMillis,
            long promptTokens,
            long outputTokens,
            double value,
            double lateValue) {}

    /** A time at which a kind or a customer asks for a multiple of its usual load. Immutable. */
    record Burst(String name, double factor, long fromMillis, long untilMillis) {
        boolean isAt(long millis) {
            return millis >= fromMillis && millis < untilMillis;
        }
    }

    /**
     * One call of the load. Immutable.
     *
     * @param isExtra whether it is asked for only because of a burst
     */
    record Arrival(PendingCall call, Kind kind, boolean isExtra) {
        long arrivedMillis() {
            return call.arrivedMillis();
        }

        String customer() {
            return call.customer().map(PendingCall.Customer::name).orElse("-");
        }
    }

    /**
     * Draws the calls in order of arrival. The usual calls are the same with and without bursts.
     */
    List<Arrival> draw(long seed) {
        List<Arrival> arrivals = new ArrayList<>();
        Map<String, Double> shares = customers.isEmpty() ? Map.of("", 1.0) : customers;
        double total = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        List<String> names = shares.keySet().stream().sorted().toList();
        double tokensPerSecond = tokensPerSecond();
        int stream = 0;
        for (Kind kind : kinds) {
            for (String customer : names) {
                double share = shares.get(customer) / total;
                Optional<PendingCall.Customer> owner =
                        customer.isEmpty()
                                ? Optional.empty()
                                : Optional.of(
                                        new PendingCall.Customer(
                                                customer,
                                                QUOTA_RATIO * share * tokensPerSecond,
                                                false));
                double rate = kind.perSecond() * share;
                addCalls(kind, owner, rate, Optional.empty(), seed + 31 * stream++, arrivals);
                for (Burst burst : bursts) {
                    if (burst.name().equals(kind.name()) || burst.name().equals(customer)) {
                        addCalls(
                                kind,
                                owner,
                                rate * (burst.factor() - 1),
                                Optional.of(burst),
                                seed + 7_919L * stream + burst.fromMillis(),
                                arrivals);
                    }
                }
            }
        }
        arrivals.sort(
                Comparator.comparingLong(Arrival::arrivedMillis)
                        .thenComparing(each -> each.call().id()));
        return arrivals;
    }

    private double tokensPerSecond() {
        return kinds.stream()
                .mapToDouble(kind -> kind.perSecond() * (kind.promptTokens() + kind.outputTokens()))
                .sum();
    }

    private void addCalls(
            Kind kind,
            Optional<PendingCall.Customer> customer,
            double perSecond,
            Optional<Burst> burst,
            long seed,
            List<Arrival> arrivals) {
        Random random = new Random(seed);
        double now = burst.map(Burst::fromMillis).orElse(0L);
        double until = burst.map(Burst::untilMillis).orElse(millis);
        while (true) {
            now += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (now >= until) {
                return;
            }
            long at = (long) now;
            PendingCall call =
                    new PendingCall(
                            kind.name() + "-" + seed + "-" + arrivals.size(),
                            "service",
                            kind.name(),
                            kind.priority(),
                            customer,
                            kind.promptTokens() + kind.outputTokens(),
                            true,
                            at,
                            Deadline.after(at, kind.objectiveMillis()),
                            Deadline.after(at, kind.patienceMillis()),
                            Optional.empty());
            arrivals.add(new Arrival(call, kind, burst.isPresent()));
        }
    }

    /** Returns the same load without bursts. */
    PlayedLoad usual() {
        return new PlayedLoad(kinds, customers, List.of(), millis);
    }

    /** Returns sizes of customers of which each is smaller than the one before. */
    static Map<String, Double> unequalCustomers(int count) {
        Map<String, Double> sizes = new HashMap<>();
        for (int i = 1; i <= count; i++) {
            sizes.put(String.format("c%02d", i), 1.0 / i);
        }
        return sizes;
    }
}
