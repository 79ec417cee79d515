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
final class EngineSteps {
    private final Deque<EngineStep> mWaiting = new ArrayDeque<>();
    private Optional<EngineStep> mUnderWay = Optional.empty();
    private Optional<EngineStep> mUnsettled = Optional.empty();

    Deque<EngineStep> waiting() {
        return mWaiting;
    }

    Optional<EngineStep> underWay() {
        return mUnderWay;
    }

    /** An order without an answer: it may have been carried out, or may be later. */
    Optional<EngineStep> unsettled() {
        return mUnsettled;
    }

    void setUnderWay(Optional<EngineStep> step) {
        mUnderWay = step;
    }

    void setUnsettled(Optional<EngineStep> step) {
        mUnsettled = step;
    }

    boolean isEmpty() {
        return mWaiting.isEmpty() && mUnderWay.isEmpty() && mUnsettled.isEmpty();
    }

    private List<EngineStep> all() {
        List<EngineStep> all = new ArrayList<>(mWaiting);
        mUnderWay.ifPresent(all::add);
        mUnsettled.ifPresent(all::add);
        return all;
    }

    /** Models on their way in. */
    Set<String> loading() {
        if (isEmpty()) {
            return Set.of();
        }
        Set<String> models = new HashSet<>();
        for (EngineStep step : all()) {
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
    long waitingMillis() {
        return mWaiting.stream().mapToLong(EngineStep::millis).sum();
    }

    /** Memory that the orders will take. */
    double reservedMegabytes() {
        return all().stream()
                .filter(EngineStep::load)
                .filter(step -> step.adapter().isEmpty())
                .mapToDouble(EngineStep::megabytes)
                .sum();
    }

    boolean readsStore() {
        return all().stream().anyMatch(EngineStep::readsStore);
    }

    /** Whether the load of a model waits to be ordered. */
    boolean isWaiting(String model) {
        return mWaiting.stream().anyMatch(step -> isLoad(step, model));
    }

    private static boolean isLoad(EngineStep step, String model) {
        return step.load() && step.adapter().isEmpty() && step.model().equals(model);
    }

    /** Drops the load of a model that was not ordered yet; false if there is none. */
    boolean dropLoad(String model) {
        return mWaiting.removeIf(step -> isLoad(step, model));
    }
}
