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
 * Tells the controller what this process uses, and takes over what the engines hold.
 *
 * <p>Confined to the control thread.
 */
public final class UsageReporter {
    private final String mSelf;
    private final Election mElection;
    private final ControllerRequestHandler mOwnDesk;
    private final ControllerClient mPeers;
    private final Scheduler mControl;
    private final TrafficPlane mTraffic;
    private long mTerm;
    private long mVersion;
    private boolean mBusy;

    /**
     * @param self this process's instance id
     */
    public UsageReporter(
            String self,
            Election election,
            ControllerRequestHandler ownDesk,
            ControllerClient peers,
            Scheduler control,
            TrafficPlane traffic) {
        mSelf = self;
        mElection = election;
        mOwnDesk = ownDesk;
        mPeers = peers;
        mControl = control;
        mTraffic = traffic;
    }

    /** Reports, unless the last report is not answered yet. */
    public void step() {
        if (!mBusy) {
            mBusy = true;
            mTraffic.reportUsage(usage -> mControl.scheduleDirect(() -> send(usage)));
        }
    }

    private void send(ModelUsage.Snapshot usage) {
        UseReport.Builder report =
                UseReport.newBuilder().setFrom(mSelf).setTerm(mTerm).setHoldingsVersion(mVersion);
        for (ModelUsage.ActiveCalls use : usage.activeCalls()) {
            report.addUses(
                    ModelUse.newBuilder()
                            .setServer(use.server())
                            .setModel(use.target().model())
                            .setAdapter(use.target().adapter())
                            .setActive(use.active())
                            .setRemainingMillis(use.remainingMillis()));
        }
        usage.rates()
                .forEach(
                        (model, rate) ->
                                report.addRates(
                                        org.cornelway.rpc.ModelRate.newBuilder()
                                                .setModel(model)
                                                .setCallsPerSecond(rate.callsPerSecond())
                                                .setObjectiveMillis(rate.objectiveMillis())));
        if (mElection.fencingNumber().isPresent()) {
            take(mOwnDesk.handleUseReport(report.build()));
            return;
        }
        Optional<Member> controller =
                mElection
                        .controller()
                        .map(ClusterMember::toMember)
                        .filter(member -> !member.id().equals(mSelf));
        if (controller.isEmpty()) {
            mBusy = false;
            return;
        }
        mPeers.reportUsage(controller.get(), report.build())
                .observeOn(mControl)
                .subscribe(this::take, e -> mBusy = false);
    }

    private void take(HoldingsReply reply) {
        mBusy = false;
        if (!reply.getController() || !reply.getChanged()) {
            return;
        }
        mTerm = reply.getTerm();
        mVersion = reply.getVersion();
        Map<ServerIncarnation, Map<String, Set<String>>> holdings = new HashMap<>();
        for (ServerHoldings server : reply.getServersList()) {
            Map<String, Set<String>> models = new HashMap<>();
            for (HeldModel model : server.getModelsList()) {
                models.put(model.getModel(), new HashSet<>(model.getAdaptersList()));
            }
            holdings.put(new ServerIncarnation(server.getServer(), server.getBorn()), models);
        }
        mTraffic.updateHoldings(holdings);
    }
}
