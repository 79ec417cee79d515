package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.ServerLife;
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
public final class UseReporter {
    private final String mSelf;
    private final Election mElection;
    private final ControllerDesk mOwnDesk;
    private final EntryPeers mPeers;
    private final Scheduler mControl;
    private final TrafficPlane mTraffic;
    private long mTerm;
    private long mVersion;
    private boolean mBusy;

    /**
     * @param self this process's instance id
     */
    public UseReporter(
            String self,
            Election election,
            ControllerDesk ownDesk,
            EntryPeers peers,
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
            mTraffic.usage(usage -> mControl.scheduleDirect(() -> send(usage)));
        }
    }

    private void send(ModelUsage.Usage usage) {
        UseReport.Builder report =
                UseReport.newBuilder().setFrom(mSelf).setTerm(mTerm).setHoldingsVersion(mVersion);
        for (ModelUsage.Use use : usage.uses()) {
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
        if (mElection.fence().isPresent()) {
            take(mOwnDesk.report(report.build()));
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
        mPeers.report(controller.get(), report.build())
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
        Map<ServerLife, Map<String, Set<String>>> holdings = new HashMap<>();
        for (ServerHoldings server : reply.getServersList()) {
            Map<String, Set<String>> models = new HashMap<>();
            for (HeldModel model : server.getModelsList()) {
                models.put(model.getModel(), new HashSet<>(model.getAdaptersList()));
            }
            holdings.put(new ServerLife(server.getServer(), server.getBorn()), models);
        }
        mTraffic.holdings(holdings);
    }
}
