package org.cornelway.models;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The outstanding orders of one engine: the queued ones, the running one and the unconfirmed one.
 *
 * <p>An order that is sent stays at the head of the queue until the engine replies; a model order
 * that the engine accepts then becomes the running one. Confined to the control thread.
 */
final class OrderQueue {
    private final Deque<PlannedOrder> mQueued = new ArrayDeque<>();
    private Optional<PlannedOrder> mRunning = Optional.empty();
    private Optional<PlannedOrder> mUnconfirmed = Optional.empty();

    /** Returns the queue itself; the caller adds and removes orders. */
    Deque<PlannedOrder> queued() {
        return mQueued;
    }

    Optional<PlannedOrder> running() {
        return mRunning;
    }

    /**
     * Returns the order that got no reply: it may have been carried out already or may still be
     * carried out.
     */
    Optional<PlannedOrder> unconfirmed() {
        return mUnconfirmed;
    }

    void setRunning(Optional<PlannedOrder> order) {
        mRunning = order;
    }

    void setUnconfirmed(Optional<PlannedOrder> order) {
        mUnconfirmed = order;
    }

    boolean isEmpty() {
        return mQueued.isEmpty() && mRunning.isEmpty() && mUnconfirmed.isEmpty();
    }

    private List<PlannedOrder> outstanding() {
        List<PlannedOrder> outstanding = new ArrayList<>(mQueued);
        mRunning.ifPresent(outstanding::add);
        mUnconfirmed.ifPresent(outstanding::add);
        return outstanding;
    }

    /** Returns the models whose load is queued, running or unconfirmed. */
    Set<String> loadingModels() {
        if (isEmpty()) {
            return Set.of();
        }
        Set<String> models = new HashSet<>();
        for (PlannedOrder order : outstanding()) {
            if (order.isLoad() && order.adapter().isEmpty()) {
                models.add(order.model());
            }
        }
        return models;
    }

    /** Whether an unload of the model is queued, running or unconfirmed. */
    boolean isUnloading(String model) {
        return outstanding().stream()
                .anyMatch(
                        order ->
                                !order.isLoad()
                                        && order.adapter().isEmpty()
                                        && order.model().equals(model));
    }

    /** Returns the expected total duration of the queued orders. */
    long queuedMillis() {
        return mQueued.stream().mapToLong(PlannedOrder::expectedMillis).sum();
    }

    /** Returns the memory that the outstanding model loads will take. */
    double reservedMegabytes() {
        return outstanding().stream()
                .filter(PlannedOrder::isLoad)
                .filter(order -> order.adapter().isEmpty())
                .mapToDouble(PlannedOrder::megabytes)
                .sum();
    }

    /** Whether a load from the checkpoint store is outstanding. */
    boolean readsStore() {
        return outstanding().stream().anyMatch(PlannedOrder::readsCheckpointStore);
    }

    /** Whether a load of the model is still queued. */
    boolean isLoadQueued(String model) {
        return mQueued.stream().anyMatch(order -> isLoad(order, model));
    }

    private static boolean isLoad(PlannedOrder order, String model) {
        return order.isLoad() && order.adapter().isEmpty() && order.model().equals(model);
    }

    /** Removes the queued loads of the model; returns whether there were any. */
    boolean cancelQueuedLoad(String model) {
        return mQueued.removeIf(order -> isLoad(order, model));
    }
}
