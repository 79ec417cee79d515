package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cornelway.traffic.ModelTarget;

/**
 * The requests for models that have no outcome yet; requests for the same target are merged.
 * Confined to the control thread.
 */
final class PendingRequests {
    private final Map<Key, Pending> mByKey = new HashMap<>();

    /** Service and target of a request; requests with equal keys are merged. */
    private record Key(String service, ModelTarget target) {}

    /** A request before it was merged, and the callback that waits for its outcome. */
    private record Waiter(ModelRequest request, Consumer<ModelRequestOutcome> callback) {
        private Waiter withoutCalls() {
            return new Waiter(request.withoutCalls(), callback);
        }
    }

    /** Merged requests and the callbacks that wait for their outcome. */
    static final class Pending {
        private final List<Waiter> mWaiters = new ArrayList<>();
        private ModelRequest mRequest;

        private Pending(ModelRequest request) {
            mRequest = request;
        }

        ModelRequest request() {
            return mRequest;
        }

        List<Consumer<ModelRequestOutcome>> callbacks() {
            return mWaiters.stream().map(Waiter::callback).toList();
        }

        private void mergeAll() {
            mRequest =
                    mWaiters.stream()
                            .map(Waiter::request)
                            .reduce(PendingRequests::merged)
                            .orElseThrow();
        }

        /**
         * Removes the requests whose deadline passes before the model is ready, except if these are
         * all; returns their callbacks.
         */
        List<Consumer<ModelRequestOutcome>> takeTooLate(long readyMillis) {
            List<Waiter> late =
                    mWaiters.stream()
                            .filter(waiter -> waiter.request().deadline().isPast(readyMillis))
                            .toList();
            if (late.isEmpty() || late.size() == mWaiters.size()) {
                return List.of();
            }
            mWaiters.removeAll(late);
            mergeAll();
            return late.stream().map(Waiter::callback).toList();
        }
    }

    private static Key keyOf(ModelRequest request) {
        return new Key(request.service(), request.target());
    }

    /**
     * Adds a request, merged with earlier ones for the same target. If an entry requests a target
     * again, since it got no reply in time, its calls are counted once.
     */
    void add(ModelRequest request, Consumer<ModelRequestOutcome> callback) {
        Pending pending = mByKey.computeIfAbsent(keyOf(request), key -> new Pending(request));
        if (!request.calls().from().isEmpty()) {
            pending.mWaiters.replaceAll(
                    waiter ->
                            waiter.request().calls().from().equals(request.calls().from())
                                    ? waiter.withoutCalls()
                                    : waiter);
        }
        pending.mWaiters.add(new Waiter(request, callback));
        pending.mergeAll();
    }

    private static ModelRequest merged(ModelRequest earlier, ModelRequest later) {
        boolean extendsDeadline = earlier.deadline().compareTo(later.deadline()) < 0;
        return new ModelRequest(
                earlier.service(),
                earlier.target(),
                extendsDeadline ? later.deadline() : earlier.deadline(),
                Math.min(earlier.priority(), later.priority()),
                earlier.firstArrivalMillis(),
                earlier.mergedRequests() + later.mergedRequests(),
                later.notHeldBy().or(earlier::notHeldBy),
                earlier.calls().plus(later.calls()));
    }

    /** Removes a request that has its outcome. */
    void remove(Pending pending) {
        mByKey.remove(keyOf(pending.request()));
    }

    /** Returns the requests by priority, and by deadline among equals. */
    List<Pending> mostUrgentFirst() {
        List<Pending> all = new ArrayList<>(mByKey.values());
        all.sort(
                Comparator.comparingInt((Pending pending) -> pending.request().priority())
                        .thenComparing(pending -> pending.request().deadline()));
        return all;
    }

    /**
     * Returns the requests by the model that they are for, whether or not they name an adapter; one
     * of them if there are several.
     */
    Map<String, ModelRequest> byModel() {
        Map<String, ModelRequest> requests = new HashMap<>();
        mByKey.forEach((key, pending) -> requests.put(key.target().model(), pending.request()));
        return requests;
    }
}
