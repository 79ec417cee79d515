package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cornelway.directory.ServerLife;
import org.cornelway.models.ModelAnswer;
import org.cornelway.models.ModelController;
import org.cornelway.models.ModelWish;
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
public final class ControllerDesk {
    private final ModelController mController;
    private final ModelController.TermSource mTerms;
    private final Function<String, Optional<ServerLife>> mLives;
    private final Scheduler mControl;

    /**
     * @param lives the present life of a server by its id
     */
    public ControllerDesk(
            ModelController controller,
            ModelController.TermSource terms,
            Function<String, Optional<ServerLife>> lives,
            Scheduler control) {
        mController = controller;
        mTerms = terms;
        mLives = lives;
        mControl = control;
    }

    /** Answers once a server holds what is asked for, or cannot. */
    public void ask(ModelAsk ask, Consumer<ModelGrant> reply) {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        ModelWish wish =
                new ModelWish(
                        ask.getService(),
                        new ModelTarget(ask.getModel(), ask.getAdapter()),
                        Deadline.after(now, ask.getRemainingMillis()),
                        ask.getPriority(),
                        now,
                        1,
                        ask.getNotHeldBy().isEmpty()
                                ? Optional.empty()
                                : mLives.apply(ask.getNotHeldBy()));
        mController.ask(wish, answer -> reply.accept(grant(answer)));
    }

    private static ModelGrant grant(ModelAnswer answer) {
        ModelGrant.Builder grant = ModelGrant.newBuilder();
        if (answer instanceof ModelAnswer.Held held) {
            return grant.setOutcome(ModelGrant.Outcome.HELD)
                    .setServer(held.engine().id())
                    .setBorn(held.engine().bornMillis())
                    .build();
        }
        if (answer instanceof ModelAnswer.TooLate late) {
            return grant.setOutcome(ModelGrant.Outcome.TOO_LATE)
                    .setExpectedMillis(late.expectedMillis())
                    .build();
        }
        return grant.setOutcome(ModelGrant.Outcome.NOT_CONTROLLER).build();
    }

    /** Takes over an entry's report and answers with what the engines hold, if that changed. */
    public HoldingsReply report(UseReport report) {
        Optional<Long> fence = mTerms.fence();
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
                        .setVersion(mController.version());
        boolean current =
                report.getTerm() == fence.get()
                        && report.getHoldingsVersion() == mController.version();
        return current ? reply.build() : withServers(reply);
    }

    private static ModelUsage.Usage usage(UseReport report) {
        List<ModelUsage.Use> uses =
                report.getUsesList().stream()
                        .map(
                                use ->
                                        new ModelUsage.Use(
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
        return new ModelUsage.Usage(uses, rates);
    }

    private HoldingsReply withServers(HoldingsReply.Builder reply) {
        mController
                .holdings()
                .forEach(
                        (life, models) -> {
                            ServerHoldings.Builder server =
                                    ServerHoldings.newBuilder()
                                            .setServer(life.id())
                                            .setBorn(life.bornMillis());
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
