package org.cornelway.models;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The orders of one engine that wait, that it carries out, and that had no answer.
 *
 * <p>Confined to the control thread.
 */
final class OrderQueue {
    private final Deque<PlannedOrder> mWaiting = new ArrayDeque<>();
    private Optional<PlannedOrder> mUnderWay = Optional.empty();
    private Optional<PlannedOrder> mUnsettled = Optional.empty();

    Deque<PlannedOrder> queued() {
        return mWaiting;
    }

    Optional<PlannedOrder> running() {
        return mUnderWay;
    }

    /** An order without an answer: it may have been carried out, or may be later. */
    Optional<PlannedOrder> unconfirmed() {
        return mUnsettled;
    }

    void setRunning(Optional<PlannedOrder> step) {
        mUnderWay = step;
    }

    void setUnconfirmed(Optional<PlannedOrder> step) {
        mUnsettled = step;
    }

    boolean isEmpty() {
        return mWaiting.isEmpty() && mUnderWay.isEmpty() && mUnsettled.isEmpty();
    }

    private List<PlannedOrder> all() {
        List<PlannedOrder> all = new ArrayList<>(mWaiting);
        mUnderWay.ifPresent(all::add);
        mUnsettled.ifPresent(all::add);
        return all;
    }

    /** Models on their way in. */
    Set<String> loadingModels() {
        if (isEmpty()) {
            return Set.of();
        }
        Set<String> models = new HashSet<>();
        for (PlannedOrder step : all()) {
            if (step.load() && step.adapter().isEmpty()) {
                models.add(step.model());
            }
        }
        return models;
    }

    /** Whether a model is on its way out. */
    boolean isUnloading(String model) {
        return all().stream()
                .anyMatch(s -> !s.load() && s.adapter().isEmpty() && s.model().equals(model));
    }

    /** Expected time of the orders that wait. */
    long queuedMillis() {
        return mWaiting.stream().mapToLong(PlannedOrder::expectedMillis).sum();
    }

    /** Memory that the orders will take. */
    double reservedMegabytes() {
        return all().stream()
                .filter(PlannedOrder::load)
                .filter(step -> step.adapter().isEmpty())
                .mapToDouble(PlannedOrder::megabytes)
                .sum();
    }

    boolean readsStore() {
        return all().stream().anyMatch(PlannedOrder::readsStore);
    }

    /** Whether the load of a model waits to be ordered. */
    boolean isLoadQueued(String model) {
        return mWaiting.stream().anyMatch(step -> isLoad(step, model));
    }

    private static boolean isLoad(PlannedOrder step, String model) {
        return step.load() && step.adapter().isEmpty() && step.model().equals(model);
    }

    /** Drops the load of a model that was not ordered yet; false if there is none. */
    boolean cancelQueuedLoad(String model) {
        return mWaiting.removeIf(step -> isLoad(step, model));
    }
}
