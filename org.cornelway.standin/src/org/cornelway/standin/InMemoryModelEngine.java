package org.cornelway.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cornelway.config.Json;
import org.cornelway.platform.CompletionCall;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.EngineStatus;
import org.cornelway.platform.ModelEngine;
import org.cornelway.platform.OrderOutcome;

/**
 * An in-memory model engine for tests in virtual time, with configurable delays and lost responses.
 *
 * <p>Does not enforce its memory limit; tests check {@link #usedBytes}. Confined to the thread of
 * its scheduler.
 */
public final class InMemoryModelEngine implements ModelEngine {
    private final EngineProfile mProfile;
    private final Scheduler mScheduler;
    private final Function<EngineOrder, OrderBehavior> mOrderBehavior;
    private final Consumer<String> mOnLoad;
    private final Map<String, EngineStatus.HeldModel> mModels = new TreeMap<>();
    private long mHighestFencingNumber;
    private double mSlowFactor = 1;

    /**
     * How the engine executes one order. Immutable.
     *
     * @param delayMillis duration of the order
     * @param responseLost whether the response is lost. The caller learns at once that the outcome
     *     is unknown; the engine still executes the order
     */
    public record OrderBehavior(long delayMillis, boolean responseLost) {}

    /**
     * @param orderBehavior returns how to execute an order; called once for each order that the
     *     engine does not reject
     * @param onLoad called with the name of the model when a load begins
     */
    public InMemoryModelEngine(
            EngineProfile profile,
            Scheduler scheduler,
            Function<EngineOrder, OrderBehavior> orderBehavior,
            Consumer<String> onLoad) {
        mProfile = profile;
        mScheduler = scheduler;
        mOrderBehavior = orderBehavior;
        mOnLoad = onLoad;
    }

    /**
     * Returns a live view of the models that occupy memory, including those that are still loading.
     */
    public Collection<String> residentModels() {
        return mModels.keySet();
    }

    /** Returns the memory occupied by all models, in bytes. */
    public long usedBytes() {
        return mModels.values().stream().mapToLong(EngineStatus.HeldModel::bytes).sum();
    }

    @Override
    public Single<EngineStatus> status() {
        return Single.timer(1, TimeUnit.MILLISECONDS, mScheduler)
                .map(
                        tick ->
                                new EngineStatus(
                                        mProfile.memoryBytes(),
                                        mModels.values().stream().toList()));
    }

    @Override
    public Single<OrderOutcome> order(EngineOrder order) {
        return Single.timer(1, TimeUnit.MILLISECONDS, mScheduler).flatMap(tick -> execute(order));
    }

    private Single<OrderOutcome> execute(EngineOrder order) {
        if (mProfile.checksFencing() && order.fencingNumber() < mHighestFencingNumber) {
            return Single.just(new OrderOutcome.Fenced(mHighestFencingNumber));
        }
        mHighestFencingNumber = Math.max(mHighestFencingNumber, order.fencingNumber());
        if (order.kind() == EngineOrder.Kind.LOAD && !mModels.containsKey(order.model())) {
            putModel(order.model(), false);
            mOnLoad.accept(order.model());
        }
        OrderBehavior behavior = mOrderBehavior.apply(order);
        Single<Long> completion =
                Single.timer(behavior.delayMillis(), TimeUnit.MILLISECONDS, mScheduler)
                        .doOnSuccess(tick -> applyOrder(order))
                        .cache();
        // The engine executes the order even if the caller does not wait for the response.
        completion.subscribe();
        return behavior.responseLost()
                ? Single.just(new OrderOutcome.Unconfirmed("response lost"))
                : completion.map(tick -> new OrderOutcome.Done());
    }

    private void applyOrder(EngineOrder order) {
        switch (order.kind()) {
            case LOAD -> putModel(order.model(), true);
            case UNLOAD -> mModels.remove(order.model());
            default -> {
                // Adapters are not simulated.
            }
        }
    }

    private void putModel(String model, boolean ready) {
        mModels.put(
                model,
                new EngineStatus.HeldModel(
                        model, ready, mProfile.modelBytes(), java.util.List.of()));
    }

    @Override
    public Flowable<byte[]> runCompletion(CompletionCall call) {
        boolean ready = mModels.containsKey(call.model()) && mModels.get(call.model()).ready();
        if (!ready) {
            return Flowable.error(new IOException("model " + call.model() + " is not loaded"));
        }
        return Flowable.intervalRange(
                        0,
                        tokenCount(call),
                        Math.round(mProfile.tokenMillis() * mSlowFactor),
                        Math.round(mProfile.tokenMillis() * mSlowFactor),
                        TimeUnit.MILLISECONDS,
                        mScheduler)
                .map(i -> token(call.requestId(), i));
    }

    private int tokenCount(CompletionCall call) {
        return Json.read(call.body(), JsonNode.class)
                .map(body -> body.path("max_tokens").asInt(mProfile.defaultTokens()))
                .orElse(mProfile.defaultTokens());
    }

    /**
     * Sets the factor by which the time per token of new completions is multiplied; 1 if never set.
     */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /** Returns the token at an index, counted from 0, of the response to a request. */
    public static byte[] token(String requestId, long index) {
        return (requestId + "." + index).getBytes(StandardCharsets.UTF_8);
    }
}
