package org.cornelway.agent;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.admission.QueueClass;
import org.cornelway.admission.QueuedRequest;
import org.cornelway.exchange.Outcome;
import org.cornelway.platform.CompletionCall;
import org.cornelway.platform.EngineOrder;
import org.cornelway.platform.ModelEngine;
import org.cornelway.platform.OrderOutcome;
import org.cornelway.residency.Demand;
import org.cornelway.residency.ModelStatus;
import org.cornelway.residency.Residency;
import org.cornelway.result.Refusal;
import org.cornelway.result.ResultCode;
import org.cornelway.rpc.ModelWork;
import org.cornelway.rpc.RequestClass;
import org.cornelway.time.Deadline;

/**
 * Runs completions on one model engine and keeps the models loaded that they need.
 *
 * <p>Confined to the control thread; chunks are appended on the engine client's threads.
 */
public final class ModelWorkHandler extends QueuedWorkHandler {
    private static final Logger LOG = LogManager.getLogger(ModelWorkHandler.class);
    private static final long TRUTH_INTERVAL_MILLIS = 10_000;
    private static final long TRUTH_RETRY_MILLIS = 500;
    private static final int INTERACTIVE_PRIORITY = 0;
    private static final int DEFERRED_PRIORITY = 10;

    private final Residency mResidency;
    private final ModelEngine mEngine;
    private long mNextTruthMillis;
    private boolean mReadingTruth;

    /**
     * @param residency decides loads and unloads
     */
    public ModelWorkHandler(
            Residency residency,
            AdmissionQueue queue,
            ModelEngine engine,
            Scheduler control,
            MetricRegistry metrics) {
        super(queue, control, metrics);
        mResidency = residency;
        mEngine = engine;
    }

    @Override
    public void accept(AgentExchange exchange) {
        ModelWork work = exchange.request().getModelWork();
        if (!mResidency.holdsSlot(work.getModel())) {
            String message = "model " + work.getModel() + " has no slot on this backend server";
            end(exchange, Outcome.refused(ResultCode.SLOT_NOT_HELD, message), true);
            return;
        }
        boolean deferred = exchange.request().getRequestClass() == RequestClass.DEFERRED;
        QueuedRequest waiting =
                new QueuedRequest(
                        exchange.id(),
                        deferred ? QueueClass.DEFERRED : QueueClass.INTERACTIVE,
                        exchange.deadline().minus(REFUSAL_MARGIN_MILLIS),
                        work.getModel(),
                        work.getAdapter(),
                        work.getPredictedTokens(),
                        now());
        Optional<Refusal> refusal = queue().offer(waiting, now());
        if (refusal.isPresent()) {
            Refusal why = refusal.get();
            end(exchange, Outcome.refused(why.code(), why.message()), true);
            return;
        }
        openExchanges().put(exchange.id(), exchange);
        dispatch();
    }

    @Override
    public boolean withdraw(AgentExchange exchange) {
        boolean wasWaiting = queue().withdraw(exchange.id());
        if (wasWaiting) {
            openExchanges().remove(exchange.id());
        }
        return wasWaiting;
    }

    @Override
    public void tick() {
        for (AgentExchange exchange : List.copyOf(openExchanges().values())) {
            boolean late = exchange.deadline().isPast(now());
            if (late && exchange.state() == AgentExchange.State.STARTED) {
                exchange.cancel();
            }
        }
        dispatch();
    }

    /** Brings orders and work forward as far as they go now. */
    public void dispatch() {
        for (QueuedRequest work : queue().removeExpired(now())) {
            String message = "deadline passed while model " + work.model() + " was awaited";
            end(
                    openExchanges().remove(work.requestId()),
                    Outcome.refused(ResultCode.DEADLINE_PASSED, message),
                    true);
        }
        refuseUnheld();
        Optional<QueuedRequest> next = takeNext();
        while (next.isPresent()) {
            start(openExchanges().get(next.get().requestId()));
            next = takeNext();
        }
        readTruthIfDue();
        if (!mReadingTruth) {
            List<Demand> demands = demands();
            mResidency.nextModelOrder(demands, now()).ifPresent(this::send);
            mResidency.nextAdapterOrder(demands).ifPresent(this::send);
        }
    }

    private Optional<QueuedRequest> takeNext() {
        return queue().startNext(work -> mResidency.canStart(work.model(), work.adapter()), now());
    }

    private void refuseUnheld() {
        for (QueuedRequest work : List.copyOf(queue().waiting())) {
            if (!mResidency.holdsSlot(work.model())) {
                queue().withdraw(work.requestId());
                String message = "the slot of model " + work.model() + " moved away";
                end(
                        openExchanges().remove(work.requestId()),
                        Outcome.refused(ResultCode.SLOT_NOT_HELD, message),
                        true);
            }
        }
    }

    private List<Demand> demands() {
        Map<String, Demand> demands = new HashMap<>();
        for (QueuedRequest work : queue().waiting()) {
            String key = work.model() + "/" + work.adapter();
            Demand demand =
                    new Demand(work.model(), work.adapter(), work.deadline(), work.arrivedMillis());
            demands.merge(key, demand, ModelWorkHandler::earlier);
        }
        return List.copyOf(demands.values());
    }

    private static Demand earlier(Demand a, Demand b) {
        Deadline deadline = a.deadline().compareTo(b.deadline()) <= 0 ? a.deadline() : b.deadline();
        long since = Math.min(a.waitingSinceMillis(), b.waitingSinceMillis());
        return new Demand(a.model(), a.adapter(), deadline, since);
    }

    private void readTruthIfDue() {
        boolean due = mResidency.needsEngineStatus() || now() >= mNextTruthMillis;
        if (!due || mReadingTruth || mResidency.hasOutstandingOrder()) {
            return;
        }
        mReadingTruth = true;
        mEngine.status()
                .observeOn(control())
                .subscribe(
                        truth -> {
                            mReadingTruth = false;
                            mNextTruthMillis = now() + TRUTH_INTERVAL_MILLIS;
                            mResidency.reconcile(truth, now());
                            if (mResidency.needsEngineStatus()) {
                                retryTruthLater();
                            }
                            dispatch();
                        },
                        e -> {
                            LOG.warn("engine's account not read: {}", e.getMessage());
                            retryTruthLater();
                        });
    }

    private void retryTruthLater() {
        mReadingTruth = true;
        control()
                .scheduleDirect(
                        () -> {
                            mReadingTruth = false;
                            dispatch();
                        },
                        TRUTH_RETRY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void send(EngineOrder order) {
        LOG.info("order {} {} {}", order.kind(), order.model(), order.adapter());
        metrics().counter("engine.orders." + order.kind()).inc();
        long sentMillis = now();
        mEngine.order(order)
                .observeOn(control())
                .subscribe(outcome -> settled(order, outcome, sentMillis));
    }

    private void settled(EngineOrder order, OrderOutcome outcome, long sentMillis) {
        if (!(outcome instanceof OrderOutcome.Done)) {
            LOG.warn("order {} {}: {}", order.kind(), order.model(), outcome);
            metrics().counter("engine.orders.unconfirmed").inc();
        }
        metrics()
                .timer("engine.order." + order.kind())
                .update(now() - sentMillis, TimeUnit.MILLISECONDS);
        mResidency.applyOutcome(order, outcome, now());
        dispatch();
    }

    private void start(AgentExchange exchange) {
        exchange.start();
        ModelWork work = exchange.request().getModelWork();
        mResidency.begin(work.getModel(), now());
        boolean deferred = exchange.request().getRequestClass() == RequestClass.DEFERRED;
        CompletionCall call =
                new CompletionCall(
                        exchange.id(),
                        work.getModel(),
                        work.getAdapter(),
                        work.getPath(),
                        work.getBody().toByteArray(),
                        deferred ? DEFERRED_PRIORITY : INTERACTIVE_PRIORITY);
        Disposable running =
                mEngine.complete(call)
                        .doOnNext(exchange.answer()::append)
                        .ignoreElements()
                        .observeOn(control())
                        .subscribe(
                                () -> finished(exchange, ok()), e -> finished(exchange, failed(e)));
        exchange.setCancelAction(
                () -> {
                    if (exchange.state() == AgentExchange.State.STARTED) {
                        running.dispose();
                        String message = "cancelled while running";
                        finished(
                                exchange,
                                Outcome.refused(ResultCode.DEADLINE_PASSED_RUNNING, message));
                    }
                });
    }

    private static Outcome ok() {
        return new Outcome(0, ResultCode.OK, "", 200, "text/event-stream");
    }

    private static Outcome failed(Throwable e) {
        return Outcome.refused(ResultCode.BACKEND_FAILED, "model engine: " + e.getMessage());
    }

    private void finished(AgentExchange exchange, Outcome ending) {
        if (openExchanges().remove(exchange.id()) == null) {
            return;
        }
        queue().finish(exchange.id(), now());
        mResidency.end(exchange.request().getModelWork().getModel(), now());
        end(exchange, ending, false);
        dispatch();
    }

    @Override
    public boolean isModelLoaded(AgentExchange exchange) {
        return mResidency.isLoaded(exchange.request().getModelWork().getModel());
    }

    @Override
    public List<ModelStatus> heldModels() {
        return mResidency.heldModels();
    }
}
