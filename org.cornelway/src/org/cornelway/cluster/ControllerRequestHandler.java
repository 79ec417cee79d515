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
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.models.CallGroup;
import org.cornelway.models.ModelController;
import org.cornelway.models.ModelRequest;
import org.cornelway.models.ModelRequestOutcome;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.QuotaReply;
import org.cornelway.rpc.QuotaReport;
import org.cornelway.rpc.ServerActivity;
import org.cornelway.rpc.UseReport;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelRate;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;

/**
 * Handles the requests that entries send to the controller. If this process is not the controller,
 * the reply says so.
 *
 * <p>Confined to the control thread.
 */
public final class ControllerRequestHandler {
    private final ModelController mController;
    private final ModelController.TermSource mTerms;
    private final Function<String, Optional<ServerIncarnation>> mIncarnations;
    private final Scheduler mControl;
    private final LimitDistributor mLimits;
    private final QuotaHandler mQuotas;
    private final HoldingsHistory mHoldings = new HoldingsHistory();

    private final CustomerUses mCustomers = new CustomerUses();

    /** What all entries have reported; kept from term to term. */
    private final CrashEvidence mEvidence = new CrashEvidence();

    /**
     * @param incarnations looks up the current incarnation of a server by the server's id
     * @param limits deals out the rates of limited servers
     * @param quotas grants tokens of customers' quotas
     */
    public ControllerRequestHandler(
            ModelController controller,
            ModelController.TermSource terms,
            Function<String, Optional<ServerIncarnation>> incarnations,
            LimitDistributor limits,
            QuotaHandler quotas,
            Scheduler control) {
        mController = controller;
        mTerms = terms;
        mIncarnations = incarnations;
        mLimits = limits;
        mQuotas = quotas;
        mControl = control;
    }

    /**
     * Handles a request for a model. Replies once a server holds the model, once it is known that
     * none will hold it before the deadline, or when this process is not the controller.
     */
    public void handleModelRequest(ModelAsk message, Consumer<ModelGrant> reply) {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        ModelRequest request =
                new ModelRequest(
                        message.getService(),
                        new ModelTarget(message.getModel(), message.getAdapter()),
                        Deadline.after(now, message.getRemainingMillis()),
                        message.getPriority(),
                        now,
                        1,
                        message.getNotHeldBy().isEmpty()
                                ? Optional.empty()
                                : mIncarnations.apply(message.getNotHeldBy()),
                        new CallGroup(
                                message.getFrom(),
                                Math.max(1, message.getCalls()),
                                message.getObjectiveMillis(),
                                Deadline.after(now, message.getRemainingObjectiveMillis())));
        mController.submit(request, outcome -> reply.accept(toGrant(outcome)));
    }

    private static ModelGrant toGrant(ModelRequestOutcome outcome) {
        ModelGrant.Builder grant = ModelGrant.newBuilder();
        if (outcome instanceof ModelRequestOutcome.Held held) {
            return grant.setOutcome(ModelGrant.Outcome.HELD)
                    .setServer(held.engine().id())
                    .setBorn(held.engine().startedMillis())
                    .build();
        }
        if (outcome instanceof ModelRequestOutcome.TooLate tooLate) {
            return grant.setOutcome(ModelGrant.Outcome.TOO_LATE)
                    .setExpectedMillis(tooLate.expectedMillis())
                    .build();
        }
        return grant.setOutcome(ModelGrant.Outcome.NOT_CONTROLLER).build();
    }

    /**
     * Records an entry's usage report if this process is the controller. The reply then lists the
     * models on the engines that have changed since the version that the entry knows, and the
     * engines that are busy.
     */
    public HoldingsReply handleUsageReport(UseReport report) {
        Optional<Long> fencingNumber = mTerms.fencingNumber();
        if (fencingNumber.isEmpty()) {
            return addQuotas(report, HoldingsReply.newBuilder()).build();
        }
        mController
                .demand()
                .recordReport(
                        report.getFrom(), toUsage(report), mControl.now(TimeUnit.MILLISECONDS));
        long term = fencingNumber.get();
        long version = mController.holdingsVersion();
        if (!mHoldings.isCurrent(term, version)) {
            mHoldings.update(term, version, mController.holdings());
        }
        HoldingsReply.Builder reply =
                mHoldings.replyTo(report.getTerm(), report.getHoldingsVersion()).toBuilder();
        mController
                .activeCalls()
                .forEach(
                        (server, active) ->
                                reply.addBusy(
                                        ServerActivity.newBuilder()
                                                .setServer(server)
                                                .setActive(active)));
        addEvidence(report, reply);
        addLimits(report, reply);
        addCustomerShares(report, reply);
        return addQuotas(report, reply).build();
    }

    /** Handles a report on customers' quotas, also if this process is not the controller. */
    public QuotaReply handleQuotaReport(QuotaReport report) {
        return mQuotas.handle(report);
    }

    private HoldingsReply.Builder addQuotas(UseReport report, HoldingsReply.Builder reply) {
        if (report.hasQuotas()) {
            reply.setQuotas(mQuotas.handle(report.getQuotas()));
        }
        return reply;
    }

    /** Merges the limits of a report, and adds all limits and the sender's permits to the reply. */
    private void addLimits(UseReport report, HoldingsReply.Builder reply) {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        mLimits.merge(LimitMessages.fromMessages(report.getLimitsList(), now));
        reply.addAllLimits(LimitMessages.toMessages(mLimits.limits(), now));
        Map<ServerIncarnation, Integer> wanted = LimitMessages.toCalls(report.getWantedList());
        mLimits.deal(report.getFrom(), wanted, 1, now)
                .forEach(
                        (server, calls) ->
                                reply.addPermits(LimitMessages.toMessage(server, calls)));
    }

    /** Adds the shares of the customers over all entries, if any entry has customers. */
    private void addCustomerShares(UseReport report, HoldingsReply.Builder reply) {
        mCustomers.record(
                report.getFrom(), report.getCustomersList(), mControl.now(TimeUnit.MILLISECONDS));
        if (report.getCustomersCount() > 0) {
            reply.setCustomerSharesKnown(true).addAllCustomerShares(mCustomers.toMessages());
        }
    }

    /** Merges the evidence of a report, and adds all evidence to the reply if there is news. */
    private void addEvidence(UseReport report, HoldingsReply.Builder reply) {
        long now = mControl.now(TimeUnit.MILLISECONDS);
        mEvidence.expire(now);
        if (report.hasEvidence()) {
            CrashEvidence.Snapshot reported = EvidenceMessages.fromMessage(report.getEvidence());
            mEvidence.merge(reported.crashes(), reported.cleared(), now);
        }
        CrashEvidence.Snapshot all = mEvidence.snapshot();
        reply.setEvidenceVersion(all.version());
        boolean isKnown =
                report.getTerm() == reply.getTerm() && report.getEvidenceVersion() == all.version();
        if (!isKnown && !all.crashes().isEmpty()) {
            reply.setEvidence(EvidenceMessages.toMessage(all));
        }
    }

    private static ModelUsage.Snapshot toUsage(UseReport report) {
        List<ModelUsage.ActiveCalls> activeCalls =
                report.getUsesList().stream()
                        .map(
                                calls ->
                                        new ModelUsage.ActiveCalls(
                                                calls.getServer(),
                                                new ModelTarget(
                                                        calls.getModel(), calls.getAdapter()),
                                                calls.getActive(),
                                                calls.getRemainingMillis()))
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
        return new ModelUsage.Snapshot(activeCalls, rates);
    }
}
