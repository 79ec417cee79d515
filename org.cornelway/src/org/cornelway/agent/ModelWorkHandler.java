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
 * Runs completions on one model engine and loads the models that they need.
 *
 * <p>Confined to the control thread, except that chunks are appended on the engine client's
 * threads.
 */
public final class ModelWorkHandler extends QueuedWorkHandler {
    private static final Logger LOG = LogManager.getLogger(ModelWorkHandler.class);
    private static final long STATUS_INTERVAL_MILLIS = 10_000;
    private static final long STATUS_RETRY_MILLIS = 500;

    // The engine runs requests with a lower priority number first.
    private static final int INTERACTIVE_PRIORITY = 0;
    private static final int DEFERRED_PRIORITY = 10;

    private final Residency mResidency;
    private final ModelEngine mEngine;
    private long mNextStatusMillis;

    /**
     * Whether a status read is in progress or its retry is scheduled. No orders are sent until the
     * read has ended.
     */
    private boolean mStatusReadPending;

    /**
     * @param residency decides which models are loaded and unloaded
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
            end(exchange, Outcome.failed(ResultCode.SLOT_NOT_HELD, message), true);
            return;
        }
        boolean deferred = exchange.request().getRequestClass() == RequestClass.DEFERRED;
        QueuedRequest queued =
                new QueuedRequest(
                        exchange.id(),
                        deferred ? QueueClass.DEFERRED : QueueClass.INTERACTIVE,
                        exchange.deadline().minus(REFUSAL_MARGIN_MILLIS),
                        work.getModel(),
                        work.getAdapter(),
                        work.getPredictedTokens(),
                        now());
        Optional<Refusal> refusal = queue().admit(queued, now());
        if (refusal.isPresent()) {
            Refusal reason = refusal.get();
            end(exchange, Outcome.failed(reason.code(), reason.message()), true);
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
            boolean deadlinePassed = exchange.deadline().isPast(now());
            if (deadlinePassed && exchange.state() == AgentExchange.State.STARTED) {
                exchange.cancel();
            }
        }
        dispatch();
    }

    /**
     * Refuses the waiting requests whose deadline has passed or whose model no longer has a slot
     * here, and starts all others that can start. Reads the engine's status if that is due, and
     * sends the next orders to the engine unless a status read is pending.
     */
    public void dispatch() {
        for (QueuedRequest queued : queue().removeExpired(now())) {
            String message = "deadline passed while model " + queued.model() + " was awaited";
            end(
                    openExchanges().remove(queued.requestId()),
                    Outcome.failed(ResultCode.DEADLINE_PASSED, message),
                    true);
        }
        refuseRequestsWithoutSlot();
        Optional<QueuedRequest> next = startNext();
        while (next.isPresent()) {
            start(openExchanges().get(next.get().requestId()));
            next = startNext();
        }
        readStatusIfDue();
        if (!mStatusReadPending) {
            List<Demand> demands = demands();
            mResidency.nextModelOrder(demands, now()).ifPresent(this::send);
            mResidency.nextAdapterOrder(demands).ifPresent(this::send);
        }
    }

    private Optional<QueuedRequest> startNext() {
        return queue().startNext(
                        queued -> mResidency.canStart(queued.model(), queued.adapter()), now());
    }

    private void refuseRequestsWithoutSlot() {
        for (QueuedRequest queued : List.copyOf(queue().waiting())) {
            if (!mResidency.holdsSlot(queued.model())) {
                queue().withdraw(queued.requestId());
                String message = "the slot of model " + queued.model() + " moved away";
                end(
                        openExchanges().remove(queued.requestId()),
                        Outcome.failed(ResultCode.SLOT_NOT_HELD, message),
                        true);
            }
        }
    }

    private List<Demand> demands() {
        Map<String, Demand> demands = new HashMap<>();
        for (QueuedRequest queued : queue().waiting()) {
            String key = queued.model() + "/" + queued.adapter();
            Demand demand =
                    new Demand(
                            queued.model(),
                            queued.adapter(),
                            queued.deadline(),
                            queued.arrivedMillis());
            demands.merge(key, demand, ModelWorkHandler::combine);
        }
        return List.copyOf(demands.values());
    }

    /**
     * Combines two demands for the same model and adapter into one with the earlier deadline and
     * the earlier start of waiting.
     */
    private static Demand combine(Demand a, Demand b) {
        Deadline deadline = a.deadline().compareTo(b.deadline()) <= 0 ? a.deadline() : b.deadline();
        long waitingSinceMillis = Math.min(a.waitingSinceMillis(), b.waitingSinceMillis());
        return new Demand(a.model(), a.adapter(), deadline, waitingSinceMillis);
    }

    private void readStatusIfDue() {
        boolean due = mResidency.needsEngineStatus() || now() >= mNextStatusMillis;
        if (!due || mStatusReadPending || mResidency.hasOutstandingOrder()) {
            return;
        }
        mStatusReadPending = true;
        mEngine.status()
                .observeOn(control())
                .subscribe(
                        status -> {
                            mStatusReadPending = false;
                            mNextStatusMillis = now() + STATUS_INTERVAL_MILLIS;
                            mResidency.reconcile(status, now());
                            if (mResidency.needsEngineStatus()) {
                                scheduleStatusRetry();
                            }
                            dispatch();
                        },
                        e -> {
                            LOG.warn(
                                    "cannot read the status of the model engine, will retry: {}",
                                    e.getMessage());
                            scheduleStatusRetry();
                        });
    }

    private void scheduleStatusRetry() {
        mStatusReadPending = true;
        control()
                .scheduleDirect(
                        () -> {
                            mStatusReadPending = false;
                            dispatch();
                        },
                        STATUS_RETRY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void send(EngineOrder order) {
        LOG.info(
                "sending order {} for model {} and adapter '{}'",
                order.kind(),
                order.model(),
                order.adapter());
        metrics().counter("engine.orders." + order.kind()).inc();
        long sentMillis = now();
        mEngine.order(order)
                .observeOn(control())
                .subscribe(outcome -> onOrderOutcome(order, outcome, sentMillis));
    }

    private void onOrderOutcome(EngineOrder order, OrderOutcome outcome, long sentMillis) {
        if (!(outcome instanceof OrderOutcome.Done)) {
            LOG.warn(
                    "order {} for model {} failed or was not confirmed: {}",
                    order.kind(),
                    order.model(),
                    outcome);
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
        mResidency.requestStarted(work.getModel(), now());
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
                mEngine.runCompletion(call)
                        .doOnNext(exchange.answer()::append)
                        .ignoreElements()
                        .observeOn(control())
                        .subscribe(
                                () -> finish(exchange, success()),
                                e -> finish(exchange, failure(e)));
        exchange.setCancelAction(
                () -> {
                    if (exchange.state() == AgentExchange.State.STARTED) {
                        running.dispose();
                        String message = "cancelled while running";
                        finish(
                                exchange,
                                Outcome.failed(ResultCode.DEADLINE_PASSED_RUNNING, message));
                    }
                });
    }

    private static Outcome success() {
        return new Outcome(0, ResultCode.OK, "", 200, "text/event-stream");
    }

    private static Outcome failure(Throwable e) {
        return Outcome.failed(ResultCode.BACKEND_FAILED, "model engine: " + e.getMessage());
    }

    private void finish(AgentExchange exchange, Outcome outcome) {
        if (openExchanges().remove(exchange.id()) == null) {
            return;
        }
        queue().finish(exchange.id(), now());
        mResidency.requestEnded(exchange.request().getModelWork().getModel(), now());
        end(exchange, outcome, false);
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
