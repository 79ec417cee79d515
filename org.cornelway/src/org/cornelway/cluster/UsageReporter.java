package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.platform.Member;
import org.cornelway.quota.QuotaReport;
import org.cornelway.rpc.HeldModel;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelUse;
import org.cornelway.rpc.ServerHoldings;
import org.cornelway.rpc.UseReport;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelUsage;
import org.cornelway.traffic.TrafficPlane;
import org.cornelway.traffic.TrafficReport;

/**
 * Reports this process's usage of models to the controller. The reply lists the models on the
 * engines that have changed since the last reply; the list is passed on to the traffic thread. Also
 * exchanges the evidence on parts of prompts that crash servers, so that all entries block the same
 * parts, and the limits of servers, for which it gets permits.
 *
 * <p>Confined to the control thread.
 */
public final class UsageReporter {
    /** Time from a report for which the permits in its reply are valid. */
    private static final long PERMIT_MILLIS = 1_000;

    private final String mSelf;
    private final Election mElection;
    private final ControllerRequestHandler mLocalHandler;
    private final ControllerClient mClient;
    private final Scheduler mControl;
    private final TrafficPlane mTraffic;
    private final FallbackPermits mFallback;
    private final QuotaExchange mQuotas;

    /**
     * Term of the controller that sent the last list. Each report contains the term and the version
     * of that list, so that the controller can omit an unchanged list from its reply.
     */
    private long mHoldingsTerm;

    /** Version of the last list within its term. */
    private long mHoldingsVersion;

    /** Version of the evidence in the last reply, within the controller's term. */
    private long mEvidenceVersion;

    /** Version of this process's evidence that the controller of that term has; -1 for none. */
    private long mReportedEvidence = -1;

    private boolean mReportInProgress;

    /**
     * @param self this process's instance id
     * @param localHandler handles the reports while this process is the controller
     * @param fallback deals out permits while no controller does
     * @param quotas exchanges the use of customers' quotas
     */
    public UsageReporter(
            String self,
            Election election,
            ControllerRequestHandler localHandler,
            ControllerClient client,
            Scheduler control,
            TrafficPlane traffic,
            FallbackPermits fallback,
            QuotaExchange quotas) {
        mSelf = self;
        mElection = election;
        mLocalHandler = localHandler;
        mClient = client;
        mControl = control;
        mTraffic = traffic;
        mFallback = fallback;
        mQuotas = quotas;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Sends a report, unless the previous one is still in progress; called periodically. */
    public void step() {
        if (mReportInProgress) {
            // Grants lapse before a report to a controller that does not respond ends.
            mTraffic.reportQuotas(report -> mControl.scheduleDirect(() -> mQuotas.send(report)));
        } else {
            mReportInProgress = true;
            mTraffic.report(report -> mControl.scheduleDirect(() -> send(report)));
        }
    }

    private void send(TrafficReport traffic) {
        CrashEvidence.Snapshot evidence = traffic.evidence();
        boolean isEvidenceNew = evidence.version() != mReportedEvidence;
        UseReport.Builder message = newReport(traffic.usage());
        addLimits(traffic.limits(), message);
        traffic.customers()
                .forEach((name, use) -> message.addCustomers(CustomerUses.toMessage(name, use)));
        applyPermits(List.of(), mFallback.deal(traffic.limits(), now()), traffic.limits());
        if (isEvidenceNew) {
            message.setEvidence(EvidenceMessages.toMessage(evidence));
        }
        long reported = isEvidenceNew ? evidence.version() : -1;
        if (mElection.fencingNumber().isPresent()) {
            addQuotas(traffic.quotas(), mSelf, message);
            HoldingsReply reply = mLocalHandler.handleUsageReport(message.build());
            onReply(reply, reported, mSelf, traffic);
            return;
        }
        Optional<Member> controller =
                mElection
                        .controller()
                        .map(ClusterMember::toMember)
                        .filter(member -> !member.id().equals(mSelf));
        if (controller.isEmpty()) {
            mReportInProgress = false;
            traffic.quotas().ifPresent(mQuotas::send);
            return;
        }
        String id = controller.get().id();
        addQuotas(traffic.quotas(), id, message);
        mClient.reportUsage(controller.get(), message.build())
                .observeOn(mControl)
                .subscribe(reply -> onReply(reply, reported, id, traffic), e -> onFailure(id));
    }

    private void onFailure(String controller) {
        mReportInProgress = false;
        mQuotas.onFailure(controller);
    }

    private void addQuotas(Optional<QuotaReport> quotas, String to, UseReport.Builder message) {
        quotas.flatMap(report -> mQuotas.attachOrSend(report, to)).ifPresent(message::setQuotas);
    }

    private static void addLimits(ServerLimits.Report limits, UseReport.Builder message) {
        message.addAllLimits(LimitMessages.toMessages(limits.limits(), limits.takenMillis()));
        limits.wanted()
                .forEach(
                        (server, calls) ->
                                message.addWanted(LimitMessages.toMessage(server, calls)));
    }

    /** Passes on limits and permits, unless there are none. */
    private void applyPermits(
            List<LimitObservation> limits,
            Map<ServerIncarnation, Integer> permits,
            ServerLimits.Report report) {
        if (!limits.isEmpty() || !permits.isEmpty()) {
            Deadline until = Deadline.after(report.takenMillis(), PERMIT_MILLIS);
            mTraffic.updateLimits(limits, permits, until);
        }
    }

    private UseReport.Builder newReport(ModelUsage.Snapshot usage) {
        UseReport.Builder report =
                UseReport.newBuilder()
                        .setFrom(mSelf)
                        .setTerm(mHoldingsTerm)
                        .setHoldingsVersion(mHoldingsVersion)
                        .setEvidenceVersion(mEvidenceVersion);
        for (ModelUsage.ActiveCalls calls : usage.activeCalls()) {
            report.addUses(
                    ModelUse.newBuilder()
                            .setServer(calls.server())
                            .setModel(calls.target().model())
                            .setAdapter(calls.target().adapter())
                            .setActive(calls.count())
                            .setRemainingMillis(calls.remainingMillis()));
        }
        usage.rates()
                .forEach(
                        (model, rate) ->
                                report.addRates(
                                        org.cornelway.rpc.ModelRate.newBuilder()
                                                .setModel(model)
                                                .setCallsPerSecond(rate.callsPerSecond())
                                                .setObjectiveMillis(rate.objectiveMillis())));
        return report;
    }

    /**
     * @param reportedEvidence version of the evidence in the report; -1 if it had none
     * @param from sender of the reply
     * @param traffic what was reported
     */
    private void onReply(
            HoldingsReply reply, long reportedEvidence, String from, TrafficReport traffic) {
        mReportInProgress = false;
        mQuotas.onOtherReply(from);
        if (reply.hasQuotas()) {
            long sentMillis = traffic.quotas().map(QuotaReport::sentMillis).orElse(0L);
            mQuotas.onReply(reply.getQuotas(), from, sentMillis);
        }
        if (!reply.getController()) {
            return;
        }
        mFallback.recordReply(now());
        applyEvidence(reply, reportedEvidence);
        if (reply.getCustomerSharesKnown()) {
            mTraffic.updateCustomerShares(CustomerUses.fromMessages(reply.getCustomerSharesList()));
        }
        ServerLimits.Report limits = traffic.limits();
        // Counted back from the report, so that a late reply makes no limit appear newer.
        applyPermits(
                LimitMessages.fromMessages(reply.getLimitsList(), limits.takenMillis()),
                LimitMessages.toCalls(reply.getPermitsList()),
                limits);
        mHoldingsTerm = reply.getTerm();
        mHoldingsVersion = reply.getVersion();
        Map<ServerIncarnation, Map<String, Set<String>>> holdings = new HashMap<>();
        for (ServerHoldings server : reply.getServersList()) {
            Map<String, Set<String>> models = new HashMap<>();
            for (HeldModel model : server.getModelsList()) {
                models.put(model.getModel(), new HashSet<>(model.getAdaptersList()));
            }
            holdings.put(new ServerIncarnation(server.getServer(), server.getBorn()), models);
        }
        // Also without a change, since the reply shows that the earlier ones still hold.
        Map<String, Integer> activeCalls = new HashMap<>();
        reply.getBusyList().forEach(s -> activeCalls.put(s.getServer(), s.getActive()));
        mTraffic.updateHoldings(holdings, activeCalls);
    }

    /** Merges the controller's evidence; a new controller is sent this process's evidence next. */
    private void applyEvidence(HoldingsReply reply, long reportedEvidence) {
        boolean isNewTerm = reply.getTerm() != mHoldingsTerm;
        if (reportedEvidence >= 0 || isNewTerm) {
            mReportedEvidence = reportedEvidence;
        }
        mEvidenceVersion = reply.getEvidenceVersion();
        if (reply.hasEvidence()) {
            mTraffic.mergeEvidence(EvidenceMessages.fromMessage(reply.getEvidence()));
        }
    }
}
