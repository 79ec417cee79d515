package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.Member;
import org.cornelway.quota.QuotaReport;
import org.cornelway.quota.QuotaTargets;
import org.cornelway.quota.QuotaTimes;
import org.cornelway.rpc.QuotaReply;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.QuotaRequester;
import org.cornelway.traffic.TrafficPlane;

/**
 * Sends this entry's reports on customers' quotas to a ledger and passes the replies to the traffic
 * thread. Reports go with the usage reports while the controller replies, and alone otherwise.
 *
 * <p>Confined to the control thread, except {@link #ask}.
 */
public final class QuotaExchange implements QuotaRequester {
    /** Time without a reply of a ledger after which one that does not answer is avoided. */
    private static final long SILENCE_MILLIS = 500;

    private final String mSelf;
    private final String mZone;
    private final Election mElection;
    private final QuotaHandler mLocalHandler;
    private final ControllerClient mClient;
    private final Supplier<List<Member>> mMembers;
    private final Scheduler mControl;
    private final EventLog mLog;
    private final TrafficPlane mTraffic;
    private final QuotaTargets mTargets;
    private Optional<String> mLastTarget = Optional.empty();
    private Deadline mSilentFrom = new Deadline(0);

    /**
     * @param self this process's instance id
     * @param zone availability zone of this process
     * @param localHandler handles the reports if this process's ledger is chosen
     * @param members returns the members, in the order in which they are candidates for controller
     */
    public QuotaExchange(
            String self,
            String zone,
            Election election,
            QuotaHandler localHandler,
            ControllerClient client,
            Supplier<List<Member>> members,
            QuotaTargets targets,
            Scheduler control,
            EventLog log,
            TrafficPlane traffic) {
        mSelf = self;
        mZone = zone;
        mElection = election;
        mLocalHandler = localHandler;
        mClient = client;
        mMembers = members;
        mTargets = targets;
        mControl = control;
        mLog = log;
        mTraffic = traffic;
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    private Optional<Member> controller() {
        return mElection.controller().map(ClusterMember::toMember);
    }

    /** Returns the entry whose ledger is used now; empty if none is known. */
    private Optional<Member> chooseTarget() {
        List<Member> members = mMembers.get();
        Set<String> ownZone =
                members.stream()
                        .filter(member -> member.zone().equals(mZone))
                        .map(Member::id)
                        .collect(Collectors.toSet());
        Optional<Member> controller = controller();
        Optional<String> chosen =
                mTargets.choose(
                        controller.map(Member::id),
                        members.stream().map(Member::id).toList(),
                        ownZone,
                        now());
        if (chosen.isPresent() && !chosen.equals(mLastTarget)) {
            mLog.write("quota.ledger", "entry", chosen.get(), "before", mLastTarget.orElse("-"));
            mLastTarget = chosen;
        }
        return chosen.flatMap(
                id ->
                        controller
                                .filter(member -> member.id().equals(id))
                                .or(
                                        () ->
                                                members.stream()
                                                        .filter(each -> each.id().equals(id))
                                                        .findFirst()));
    }

    private QuotaReport limitShare(QuotaReport report) {
        return mTargets.mayShare(now()) ? report : report.withoutShare();
    }

    /**
     * Returns the message for a usage report to an entry if the ledger of that entry is used now;
     * else sends the report alone.
     */
    Optional<org.cornelway.rpc.QuotaReport> attachOrSend(QuotaReport report, String receiver) {
        Optional<Member> target = chooseTarget();
        if (target.isPresent() && target.get().id().equals(receiver)) {
            return Optional.of(QuotaMessages.toMessage(limitShare(report)));
        }
        target.ifPresent(member -> send(report, member, () -> {}));
        return Optional.empty();
    }

    /** Sends a report alone. */
    void send(QuotaReport report) {
        chooseTarget().ifPresent(member -> send(report, member, () -> {}));
    }

    @Override
    public void ask(QuotaReport report) {
        mControl.scheduleDirect(
                () -> {
                    Optional<Member> target = chooseTarget();
                    if (target.isPresent()) {
                        send(report, target.get(), mTraffic::onQuotaAskEnded);
                    } else {
                        mTraffic.onQuotaAskEnded();
                    }
                });
    }

    private void send(QuotaReport report, Member target, Runnable onEnd) {
        org.cornelway.rpc.QuotaReport message = QuotaMessages.toMessage(limitShare(report));
        Single<QuotaReply> reply =
                target.id().equals(mSelf)
                        ? Single.fromCallable(() -> mLocalHandler.handle(message))
                        : mClient.takeQuota(target, message, QuotaTimes.WAIT_MILLIS);
        reply.observeOn(mControl)
                .subscribe(
                        each -> {
                            onReply(each, target.id(), report.sentMillis());
                            onEnd.run();
                        },
                        e -> {
                            onFailure(target.id());
                            onEnd.run();
                        });
    }

    /**
     * Passes on a reply.
     *
     * @param sentMillis when the report that it answers was taken
     */
    void onReply(QuotaReply reply, String from, long sentMillis) {
        mSilentFrom = Deadline.after(now(), SILENCE_MILLIS);
        mTargets.recordReply(from);
        mTraffic.onQuotaReply(QuotaMessages.fromMessage(reply), sentMillis);
    }

    /** Records that an entry has replied to something else. */
    void onOtherReply(String from) {
        mTargets.recordReply(from);
    }

    /** Records that an entry has not replied; it is avoided unless another reply was recent. */
    void onFailure(String to) {
        if (!to.equals(mSelf) && mSilentFrom.isPast(now())) {
            mTargets.recordFailure(to, now());
        }
    }
}
