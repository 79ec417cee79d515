package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.models.ModelController;
import org.cornelway.models.ModelRequest;
import org.cornelway.models.ModelRequestOutcome;
import org.cornelway.rpc.HeldModel;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.ServerHoldings;
import org.cornelway.rpc.UseReport;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/**
 * Answers entries in the controller's name, or says that this process is not the controller.
 *
 * <p>Confined to the control thread.
 */
public final class ControllerRequestHandler {
    private final ModelController mController;
    private final ModelController.TermSource mTerms;
    private final Function<String, Optional<ServerIncarnation>> mLives;
    private final Scheduler mControl;

    /**
     * @param lives the present life of a server by its id
     */
    public ControllerRequestHandler(
            ModelController controller,
            ModelController.TermSource terms,
            Function<String, Optional<ServerIncarnation>> lives,
            Scheduler control) {
        mController = controller;
        mTerms = terms;
        mLives = lives;
        mControl = control;
    }

    /** Answers once a server holds what is asked for, or cannot. */
    public void handleModelRequest(ModelAsk ask, Consumer<ModelGrant> reply) {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        ModelRequest wish =
                new ModelRequest(
                        ask.getService(),
                        new ModelTarget(ask.getModel(), ask.getAdapter()),
                        Deadline.after(now, ask.getRemainingMillis()),
                        ask.getPriority(),
                        now,
                        1,
                        ask.getNotHeldBy().isEmpty()
                                ? Optional.empty()
                                : mLives.apply(ask.getNotHeldBy()));
        mController.submit(wish, answer -> reply.accept(grant(answer)));
    }

    private static ModelGrant grant(ModelRequestOutcome answer) {
        ModelGrant.Builder grant = ModelGrant.newBuilder();
        if (answer instanceof ModelRequestOutcome.Held held) {
            return grant.setOutcome(ModelGrant.Outcome.HELD)
                    .setServer(held.engine().id())
                    .setBorn(held.engine().startedMillis())
                    .build();
        }
        if (answer instanceof ModelRequestOutcome.TooLate late) {
            return grant.setOutcome(ModelGrant.Outcome.TOO_LATE)
                    .setExpectedMillis(late.expectedMillis())
                    .build();
        }
        return grant.setOutcome(ModelGrant.Outcome.NOT_CONTROLLER).build();
    }

    /** Takes over an entry's report and answers with what the engines hold, if that changed. */
    public HoldingsReply handleUseReport(UseReport report) {
        Optional<Long> fence = mTerms.fencingNumber();
        if (fence.isEmpty()) {
            return HoldingsReply.getDefaultInstance();
        }
        mController
                .demand()
                .report(report.getFrom(), usage(report), mControl.now(TimeUnit.MILLISECONDS));
        HoldingsReply.Builder reply =
                HoldingsReply.newBuilder()
                        .setController(true)
                        .setTerm(fence.get())
                        .setVersion(mController.holdingsVersion());
        boolean current =
                report.getTerm() == fence.get()
                        && report.getHoldingsVersion() == mController.holdingsVersion();
        return current ? reply.build() : withServers(reply);
    }

    private static ModelUsage.Snapshot usage(UseReport report) {
        List<ModelUsage.ActiveCalls> uses =
                report.getUsesList().stream()
                        .map(
                                use ->
                                        new ModelUsage.ActiveCalls(
                                                use.getServer(),
                                                new ModelTarget(use.getModel(), use.getAdapter()),
                                                use.getActive(),
                                                use.getRemainingMillis()))
                        .toList();
        Map<String, ModelRate> rates = new HashMap<>();
        report.getRatesList()
                .forEach(
                        rate ->
                                rates.put(
                                        rate.getModel(),
                                        new ModelRate(
                                                rate.getCallsPerSecond(),
                                                rate.getObjectiveMillis())));
        return new ModelUsage.Snapshot(uses, rates);
    }

    private HoldingsReply withServers(HoldingsReply.Builder reply) {
        mController
                .holdings()
                .forEach(
                        (life, models) -> {
                            ServerHoldings.Builder server =
                                    ServerHoldings.newBuilder()
                                            .setServer(life.id())
                                            .setBorn(life.startedMillis());
                            models.forEach(
                                    (model, adapters) ->
                                            server.addModels(
                                                    HeldModel.newBuilder()
                                                            .setModel(model)
                                                            .addAllAdapters(adapters.names())));
                            reply.addServers(server);
                        });
        return reply.setChanged(true).build();
    }
}
