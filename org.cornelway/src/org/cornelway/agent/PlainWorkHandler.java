package org.cornelway.agent;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.admission.QueueClass;
import org.cornelway.admission.QueuedRequest;
import org.cornelway.exchange.Outcome;
import org.cornelway.intent.IntentDecision;
import org.cornelway.intent.IntentLog;
import org.cornelway.intent.IntentRequest;
import org.cornelway.intent.RecordedOutcome;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.PlainCall;
import org.cornelway.platform.PlainResponse;
import org.cornelway.platform.PlainService;
import org.cornelway.residency.ModelStatus;
import org.cornelway.result.Refusal;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.cornelway.rpc.PlainWork;

/**
 * Queues the requests for one plain service and sends each as a call when its turn comes.
 *
 * <p>Invariant: a call that may not be repeated is sent at most once for each request id, and at
 * most once for each idempotency key across all agents. Confined to the control thread.
 */
public final class PlainWorkHandler extends QueuedWorkHandler {
    private final PlainService mService;
    private final IntentLog mIntents;
    private final Invariants mInvariants;

    /**
     * @param intents log that grants and records the calls that may not be repeated
     */
    public PlainWorkHandler(
            AdmissionQueue queue,
            PlainService service,
            IntentLog intents,
            Scheduler control,
            Invariants invariants,
            MetricRegistry metrics) {
        super(queue, control, metrics);
        mService = service;
        mIntents = intents;
        mInvariants = invariants;
    }

    @Override
    public void accept(AgentExchange exchange) {
        PlainWork work = exchange.request().getPlainWork();
        QueuedRequest queued =
                new QueuedRequest(
                        exchange.id(),
                        QueueClass.INTERACTIVE,
                        exchange.deadline().minus(REFUSAL_MARGIN_MILLIS),
                        work.getService(),
                        "",
                        0,
                        now());
        Optional<Refusal> refusal = queue().admit(queued, now());
        if (refusal.isPresent()) {
            end(exchange, refusal.get());
            return;
        }
        openExchanges().put(exchange.id(), exchange);
        tick();
    }

    @Override
    public void tick() {
        for (QueuedRequest queued : queue().removeExpired(now())) {
            end(
                    openExchanges().remove(queued.requestId()),
                    Refusal.of(ResultCode.DEADLINE_PASSED, "deadline passed in the queue"));
        }
        Optional<QueuedRequest> next = queue().startNext(queued -> true, now());
        while (next.isPresent()) {
            recordIntentOrSend(openExchanges().get(next.get().requestId()));
            next = queue().startNext(queued -> true, now());
        }
    }

    private void recordIntentOrSend(AgentExchange exchange) {
        PlainWork work = exchange.request().getPlainWork();
        boolean needsIntent = !work.getRepeatable() && !work.getIdempotencyKey().isEmpty();
        if (!needsIntent) {
            send(exchange, Optional.empty());
            return;
        }
        IntentRequest intent =
                new IntentRequest(
                        exchange.request().getTeam() + "/" + work.getIdempotencyKey(),
                        fingerprint(work),
                        exchange.id(),
                        exchange.deadline().minus(REFUSAL_MARGIN_MILLIS));
        mIntents.begin(intent)
                .observeOn(control())
                .subscribe(decision -> onDecision(exchange, intent, decision));
    }

    private void onDecision(AgentExchange exchange, IntentRequest intent, IntentDecision decision) {
        if (decision instanceof IntentDecision.Granted) {
            sendGranted(exchange, intent);
        } else if (decision instanceof IntentDecision.Running running) {
            running.finalDecision()
                    .observeOn(control())
                    .subscribe(finalDecision -> onDecision(exchange, intent, finalDecision));
        } else if (decision instanceof IntentDecision.Recorded recorded) {
            finish(exchange, recorded.outcome());
        } else if (decision instanceof IntentDecision.KeyReused) {
            fail(exchange, ResultCode.KEY_REUSED, "idempotency key of another call");
        } else if (decision instanceof IntentDecision.OutcomeUnknown unknown) {
            fail(exchange, ResultCode.OUTCOME_UNKNOWN, unknown.message());
        } else if (decision instanceof IntentDecision.NotRecorded notRecorded) {
            fail(exchange, ResultCode.NOT_DURABLE, notRecorded.message());
        }
    }

    /**
     * Sends a call whose intent is recorded. If the deadline has passed or the request was
     * withdrawn in the meantime, abandons the intent instead; a withdrawn request has already
     * ended.
     */
    private void sendGranted(AgentExchange exchange, IntentRequest intent) {
        boolean deadlinePassed = exchange.deadline().isPast(now());
        boolean stillOpen = openExchanges().containsKey(exchange.id());
        if (deadlinePassed || !stillOpen) {
            mIntents.abandon(intent);
            fail(exchange, ResultCode.DEADLINE_PASSED, "deadline passed before the call");
            return;
        }
        send(exchange, Optional.of(intent));
    }

    private void send(AgentExchange exchange, Optional<IntentRequest> intent) {
        PlainWork work = exchange.request().getPlainWork();
        boolean started = exchange.start();
        mInvariants.check(started, "call " + exchange.id() + " must not be sent a second time");
        if (!started) {
            return;
        }
        metrics().counter("plain.calls").inc();
        PlainCall call =
                new PlainCall(
                        exchange.id(),
                        work.getMethod(),
                        work.getPath(),
                        work.getContentType(),
                        work.getBody().toByteArray(),
                        work.getIdempotencyKey());
        mService.call(call)
                .observeOn(control())
                .subscribe(result -> onResult(exchange, intent, result));
    }

    private void onResult(
            AgentExchange exchange, Optional<IntentRequest> intent, Result<PlainResponse> result) {
        if (result instanceof Result.Ok<PlainResponse> ok) {
            PlainResponse response = ok.value();
            RecordedOutcome outcome =
                    new RecordedOutcome(
                            response.status(), response.contentType(), response.body(), true);
            intent.ifPresent(request -> mIntents.recordOutcome(request, outcome));
            finish(exchange, outcome);
            return;
        }
        Refusal refusal = result.failure().orElseThrow();
        boolean notRun = refusal instanceof Refusal.NotRun;
        intent.ifPresent(
                request -> {
                    if (notRun) {
                        mIntents.abandon(request);
                    } else {
                        mIntents.markOutcomeUnknown(request);
                    }
                });
        fail(exchange, refusal.code(), refusal.message());
    }

    /** Ends a request with the outcome of its call, unless it has already ended. */
    private void finish(AgentExchange exchange, RecordedOutcome outcome) {
        if (openExchanges().remove(exchange.id()) == null) {
            return;
        }
        queue().finish(exchange.id(), now());
        if (outcome.body().length > 0) {
            exchange.answer().append(outcome.body());
        }
        ResultCode code = outcome.retained() ? ResultCode.OK : ResultCode.ANSWER_NOT_RETAINED;
        exchange.end(new Outcome(0, code, "", outcome.status(), outcome.contentType()), false);
        metrics().counter("agent.ended." + code).inc();
        tick();
    }

    /** Ends a request with an error, unless it has already ended. */
    private void fail(AgentExchange exchange, ResultCode code, String message) {
        if (openExchanges().remove(exchange.id()) == null) {
            return;
        }
        queue().finish(exchange.id(), now());
        end(exchange, Refusal.of(code, message));
        tick();
    }

    private void end(AgentExchange exchange, Refusal refusal) {
        boolean notRun = refusal instanceof Refusal.NotRun;
        end(exchange, Outcome.failed(refusal.code(), refusal.message()), notRun);
    }

    @Override
    public boolean withdraw(AgentExchange exchange) {
        if (queue().withdraw(exchange.id())) {
            openExchanges().remove(exchange.id());
            return true;
        }
        boolean awaitsIntentDecision = exchange.state() == AgentExchange.State.WAITING;
        if (awaitsIntentDecision && openExchanges().remove(exchange.id()) != null) {
            queue().finish(exchange.id(), now());
            return true;
        }
        return false;
    }

    /** Returns the first 128 bits of a SHA-256 digest of the call, in hexadecimal. */
    private static String fingerprint(PlainWork work) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String call = work.getService() + "\n" + work.getMethod() + "\n" + work.getPath();
            digest.update(call.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return HexFormat.of()
                    .formatHex(digest.digest(work.getBody().toByteArray()))
                    .substring(0, 32);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public boolean isModelLoaded(AgentExchange exchange) {
        return true;
    }

    @Override
    public List<ModelStatus> heldModels() {
        return List.of();
    }
}
