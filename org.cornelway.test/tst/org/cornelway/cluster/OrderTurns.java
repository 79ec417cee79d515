package org.cornelway.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.standin.platform.ReceivedOrder;

/**
 * Finds holders that take turns in giving orders to one engine: a holder gives an order, another
 * one does, and then the first one again within a time. Confined to one thread.
 */
public final class OrderTurns {
    private final long mIntervalMillis;

    /** When the last order of each holder arrived. */
    private final Map<String, Long> mLastMillis = new HashMap<>();

    private String mLastHolder = "";

    /**
     * @param intervalMillis shortest time from an order of a holder until its next one if another
     *     holder has given an order in between
     */
    public OrderTurns(long intervalMillis) {
        mIntervalMillis = intervalMillis;
    }

    /** Returns a description of each turn that is taken too soon in the orders to an engine. */
    public static List<String> find(List<ReceivedOrder> orders, long intervalMillis) {
        OrderTurns turns = new OrderTurns(intervalMillis);
        return orders.stream()
                .map(
                        order ->
                                turns.record(
                                        order.holder(),
                                        TimeUnit.NANOSECONDS.toMillis(order.receivedNanos())))
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Records the next order.
     *
     * @param millis when it arrived
     * @return a description of the turn that it takes too soon, or empty if it takes none
     */
    public Optional<String> record(String holder, long millis) {
        Long before = mLastMillis.put(holder, millis);
        String other = mLastHolder;
        mLastHolder = holder;
        boolean isTurn = before != null && !other.equals(holder);
        return isTurn && millis - before < mIntervalMillis
                ? Optional.of(
                        holder
                                + " gives orders again "
                                + (millis - before)
                                + " ms after its last one; meanwhile "
                                + other
                                + " did")
                : Optional.empty();
    }
}
