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
 * A model engine in memory whose orders take time and lose their answers as told; for tests in
 * virtual time.
 *
 * <p>Confined to the thread of its scheduler.
 */
public final class InMemoryModelEngine implements ModelEngine {
    private final EngineProfile mProfile;
    private final Scheduler mScheduler;
    private final Function<EngineOrder, OrderFault> mFaults;
    private final Consumer<String> mOnLoad;
    private final Map<String, EngineStatus.HeldModel> mModels = new TreeMap<>();
    private long mHighestFencingNumber;
    private double mSlowFactor = 1;

    /**
     * What happens to one order. Immutable.
     *
     * @param delayMillis time that it takes
     * @param answerLost whether its outcome is not told
     */
    public record OrderFault(long delayMillis, boolean answerLost) {}

    /**
     * @param faults asked once an order
     * @param onLoad told the model as a load begins
     */
    public InMemoryModelEngine(
            EngineProfile profile,
            Scheduler scheduler,
            Function<EngineOrder, OrderFault> faults,
            Consumer<String> onLoad) {
        mProfile = profile;
        mScheduler = scheduler;
        mFaults = faults;
        mOnLoad = onLoad;
    }

    /** The models that hold memory. */
    public Collection<String> residentModels() {
        return mModels.keySet();
    }

    /** Bytes of the models that hold memory. */
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
        return Single.timer(1, TimeUnit.MILLISECONDS, mScheduler).flatMap(tick -> begin(order));
    }

    private Single<OrderOutcome> begin(EngineOrder order) {
        if (mProfile.checksFencing() && order.fencingNumber() < mHighestFencingNumber) {
            return Single.just(new OrderOutcome.Fenced(mHighestFencingNumber));
        }
        mHighestFencingNumber = Math.max(mHighestFencingNumber, order.fencingNumber());
        if (order.kind() == EngineOrder.Kind.LOAD && !mModels.containsKey(order.model())) {
            put(order.model(), false);
            mOnLoad.accept(order.model());
        }
        OrderFault fault = mFaults.apply(order);
        Single<Long> work =
                Single.timer(fault.delayMillis(), TimeUnit.MILLISECONDS, mScheduler)
                        .doOnSuccess(tick -> complete(order))
                        .cache();
        work.subscribe();
        return fault.answerLost()
                ? Single.just(new OrderOutcome.Unconfirmed("answer lost"))
                : work.map(tick -> new OrderOutcome.Done());
    }

    private void complete(EngineOrder order) {
        switch (order.kind()) {
            case LOAD -> put(order.model(), true);
            case UNLOAD -> mModels.remove(order.model());
            default -> {
                // Adapters are not modelled here.
            }
        }
    }

    private void put(String model, boolean settled) {
        mModels.put(
                model,
                new EngineStatus.HeldModel(
                        model, settled, mProfile.modelBytes(), java.util.List.of()));
    }

    @Override
    public Flowable<byte[]> complete(CompletionCall call) {
        boolean ready = mModels.containsKey(call.model()) && mModels.get(call.model()).ready();
        if (!ready) {
            return Flowable.error(new IOException("model " + call.model() + " is not loaded"));
        }
        return Flowable.intervalRange(
                        0,
                        tokens(call),
                        Math.round(mProfile.tokenMillis() * mSlowFactor),
                        Math.round(mProfile.tokenMillis() * mSlowFactor),
                        TimeUnit.MILLISECONDS,
                        mScheduler)
                .map(i -> token(call.requestId(), i));
    }

    private int tokens(CompletionCall call) {
        return Json.read(call.body(), JsonNode.class)
                .map(body -> body.path("max_tokens").asInt(mProfile.defaultTokens()))
                .orElse(mProfile.defaultTokens());
    }

    /** Makes each token take longer by a factor. */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /** The token of an index in the answer to a request. */
    public static byte[] token(String requestId, long index) {
        return (requestId + "." + index).getBytes(StandardCharsets.UTF_8);
    }
}
