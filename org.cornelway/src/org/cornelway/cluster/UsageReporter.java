package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.platform.Member;
import org.cornelway.rpc.HeldModel;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelUse;
import org.cornelway.rpc.ServerHoldings;
import org.cornelway.rpc.UseReport;
import org.cornelway.traffic.ModelUsage;
import org.cornelway.traffic.TrafficPlane;

/**
 * Reports this process's usage of models to the controller. The reply lists the models on the
 * engines that have changed since the last reply; the list is passed on to the traffic thread.
 *
 * <p>Confined to the control thread.
 */
public final class UsageReporter {
    private final String mSelf;
    private final Election mElection;
    private final ControllerRequestHandler mLocalHandler;
    private final ControllerClient mClient;
    private final Scheduler mControl;
    private final TrafficPlane mTraffic;

    /**
     * Term of the controller that sent the last list. Each report contains the term and the version
     * of that list, so that the controller can omit an unchanged list from its reply.
     */
    private long mHoldingsTerm;

    /** Version of the last list within its term. */
    private long mHoldingsVersion;

    private boolean mReportInProgress;

    /**
     * @param self this process's instance id
     * @param localHandler handles the reports while this process is the controller
     */
    public UsageReporter(
            String self,
            Election election,
            ControllerRequestHandler localHandler,
            ControllerClient client,
            Scheduler control,
            TrafficPlane traffic) {
        mSelf = self;
        mElection = election;
        mLocalHandler = localHandler;
        mClient = client;
        mControl = control;
        mTraffic = traffic;
    }

    /** Sends a report, unless the previous one is still in progress; called periodically. */
    public void step() {
        if (!mReportInProgress) {
            mReportInProgress = true;
            mTraffic.reportUsage(snapshot -> mControl.scheduleDirect(() -> send(snapshot)));
        }
    }

    private void send(ModelUsage.Snapshot snapshot) {
        UseReport.Builder report =
                UseReport.newBuilder()
                        .setFrom(mSelf)
                        .setTerm(mHoldingsTerm)
                        .setHoldingsVersion(mHoldingsVersion);
        for (ModelUsage.ActiveCalls calls : snapshot.activeCalls()) {
            report.addUses(
                    ModelUse.newBuilder()
                            .setServer(calls.server())
                            .setModel(calls.target().model())
                            .setAdapter(calls.target().adapter())
                            .setActive(calls.count())
                            .setRemainingMillis(calls.remainingMillis()));
        }
        snapshot.rates()
                .forEach(
                        (model, rate) ->
                                report.addRates(
                                        org.cornelway.rpc.ModelRate.newBuilder()
                                                .setModel(model)
                                                .setCallsPerSecond(rate.callsPerSecond())
                                                .setObjectiveMillis(rate.objectiveMillis())));
        if (mElection.fencingNumber().isPresent()) {
            onReply(mLocalHandler.handleUsageReport(report.build()));
            return;
        }
        Optional<Member> controller =
                mElection
                        .controller()
                        .map(ClusterMember::toMember)
                        .filter(member -> !member.id().equals(mSelf));
        if (controller.isEmpty()) {
            mReportInProgress = false;
            return;
        }
        mClient.reportUsage(controller.get(), report.build())
                .observeOn(mControl)
                .subscribe(this::onReply, e -> mReportInProgress = false);
    }

    private void onReply(HoldingsReply reply) {
        mReportInProgress = false;
        if (!reply.getController()) {
            return;
        }
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
        Map<String, Integer> busy = new HashMap<>();
        reply.getBusyList().forEach(server -> busy.put(server.getServer(), server.getActive()));
        mTraffic.updateHoldings(holdings, busy);
    }
}
