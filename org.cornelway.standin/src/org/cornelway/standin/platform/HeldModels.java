package org.cornelway.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The models and adapters that a {@link BackendServerStandin} holds, and the orders that change
 * them.
 *
 * <p>Orders are handled on one event loop; all else is thread-safe.
 */
final class HeldModels {
    private static final long LOAD_MILLIS = 30;

    private final Vertx mVertx;
    private final Map<String, Set<String>> mAdapters = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<ReceivedOrder> mReceivedOrders =
            new ConcurrentLinkedQueue<>();
    private volatile long mAcceptedOrders;
    private long mHighestFencingNumber;

    /**
     * @param models models that are loaded from the start
     */
    HeldModels(Vertx vertx, String... models) {
        mVertx = vertx;
        for (String model : models) {
            mAdapters.put(model, ConcurrentHashMap.newKeySet());
        }
    }

    /** The adapters of each loaded model, by name of the model; changes with the orders. */
    Map<String, Set<String>> byName() {
        return mAdapters;
    }

    /** The orders received so far, in order of arrival. */
    List<ReceivedOrder> receivedOrders() {
        return new ArrayList<>(mReceivedOrders);
    }

    long acceptedOrders() {
        return mAcceptedOrders;
    }

    /**
     * Accepts an order, unless its fencing number is lower than that of an earlier order or its
     * expected number of accepted orders differs from the actual one. An accepted load of a model
     * completes {@link #LOAD_MILLIS} later. Returns the status of the reply.
     */
    String handleOrder(JsonNode order) {
        long fencingNumber = order.path("Fence").asLong();
        String holder = order.path("Holder").asText();
        mReceivedOrders.add(new ReceivedOrder(holder, fencingNumber, System.nanoTime()));
        if (fencingNumber < mHighestFencingNumber) {
            return "412 Precondition Failed";
        }
        mHighestFencingNumber = fencingNumber;
        if (order.has("Expected") && order.path("Expected").asLong() != mAcceptedOrders) {
            return "409 Conflict";
        }
        mAcceptedOrders++;
        boolean isLoad = order.path("Operation").asText().equals("load");
        String model = order.path("Model").asText();
        String adapter = order.path("Adapter").asText();
        return adapter.isEmpty()
                ? handleModelOrder(isLoad, model)
                : handleAdapterOrder(isLoad, model, adapter);
    }

    private String handleModelOrder(boolean isLoad, String model) {
        if (isLoad) {
            mVertx.setTimer(
                    LOAD_MILLIS, timer -> mAdapters.put(model, ConcurrentHashMap.newKeySet()));
        } else {
            mAdapters.remove(model);
        }
        return "202 Accepted";
    }

    /** An adapter is unloaded at once, as no call uses it for long. */
    private String handleAdapterOrder(boolean isLoad, String model, String adapter) {
        Set<String> adapters = mAdapters.getOrDefault(model, ConcurrentHashMap.newKeySet());
        if (isLoad) {
            adapters.add(adapter);
            return "202 Accepted";
        }
        adapters.remove(adapter);
        return "200 OK";
    }
}
