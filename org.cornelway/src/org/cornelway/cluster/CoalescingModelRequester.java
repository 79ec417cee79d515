package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.Member;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelRequester;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.TrafficPlane;

/**
 * Gets models for the calls of this process from whichever process is the controller.
 *
 * <p>Calls for the same model share one ask. Wishes come from the traffic thread; the rest is
 * confined to the control thread.
 */
public final class CoalescingModelRequester implements ModelRequester {
    /** Longest wait for one answer; a new controller is asked after it. */
    private static final long ASK_MILLIS = 2_500;

    /** Pause before asking again when there is no controller, or it gave no use. */
    private static final long AGAIN_MILLIS = 60;

    private final String mSelf;
    private final Election mElection;
    private final ControllerRequestHandler mOwnDesk;
    private final ControllerClient mPeers;
    private final Scheduler mControl;
    private final Clock mClock;
    private final EventLog mLog;
    private final TrafficPlane mTraffic;
    private final Map<Key, Open> mOpen = new HashMap<>();

    /** What asks are shared by. */
    private record Key(String service, ModelTarget target) {}

    /** An ask with the calls that wait for it. */
    private static final class Open {
        private final List<Request> mWishes = new ArrayList<>();
        private final List<LongConsumer> mTooLate = new ArrayList<>();
    }

    /**
     * @param self this process's instance id
     * @param clock the clock of the calls' deadlines
     */
    public CoalescingModelRequester(
            String self,
            Election election,
            ControllerRequestHandler ownDesk,
            ControllerClient peers,
            Scheduler control,
            Clock clock,
            EventLog log,
            TrafficPlane traffic) {
        mSelf = self;
        mElection = election;
        mOwnDesk = ownDesk;
        mPeers = peers;
        mControl = control;
        mClock = clock;
        mLog = log;
        mTraffic = traffic;
    }

    @Override
    public void requestModel(Request wish, LongConsumer tooLate) {
        mControl.scheduleDirect(() -> add(wish, tooLate));
    }

    private void add(Request wish, LongConsumer tooLate) {
        Key key = new Key(wish.service(), wish.target());
        Open open = mOpen.get(key);
        boolean first = open == null;
        if (first) {
            open = new Open();
            mOpen.put(key, open);
        }
        open.mWishes.add(wish);
        open.mTooLate.add(tooLate);
        if (first) {
            send(key);
        }
    }

    private void send(Key key) {
        Open open = mOpen.get(key);
        if (open == null) {
            return;
        }
        long last =
                open.mWishes.stream()
                        .map(Request::deadline)
                        .mapToLong(Deadline::epochMillis)
                        .max()
                        .orElse(0);
        long remaining = last - mClock.nowMillis();
        if (remaining <= 0) {
            mOpen.remove(key);
            return;
        }
        Optional<Single<ModelGrant>> call = call(message(key, open, remaining));
        if (call.isEmpty()) {
            again(key);
            return;
        }
        call.get().observeOn(mControl).subscribe(grant -> answered(key, grant), e -> again(key));
    }

    private ModelAsk message(Key key, Open open, long remaining) {
        Request latest = open.mWishes.get(open.mWishes.size() - 1);
        return ModelAsk.newBuilder()
                .setFrom(mSelf)
                .setService(key.service())
                .setModel(key.target().model())
                .setAdapter(key.target().adapter())
                .setRemainingMillis(remaining)
                .setPriority(open.mWishes.stream().mapToInt(Request::priority).min().orElse(0))
                .setNotHeldBy(latest.notHeldBy().map(ServerIncarnation::id).orElse(""))
                .build();
    }

    private Optional<Single<ModelGrant>> call(ModelAsk ask) {
        if (mElection.fencingNumber().isPresent()) {
            return Optional.of(Single.create(e -> mOwnDesk.handleModelRequest(ask, e::onSuccess)));
        }
        long wait = Math.min(ASK_MILLIS, ask.getRemainingMillis());
        return mElection
                .controller()
                .map(ClusterMember::toMember)
                .filter(member -> !member.id().equals(mSelf))
                .map((Member member) -> mPeers.requestModel(member, ask, wait));
    }

    private void again(Key key) {
        mControl.scheduleDirect(() -> send(key), AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void answered(Key key, ModelGrant grant) {
        if (grant.getOutcome() == ModelGrant.Outcome.NOT_CONTROLLER) {
            again(key);
            return;
        }
        Open open = mOpen.remove(key);
        if (open == null) {
            return;
        }
        if (grant.getOutcome() == ModelGrant.Outcome.HELD) {
            ServerIncarnation life = new ServerIncarnation(grant.getServer(), grant.getBorn());
            mTraffic.onModelGranted(life, key.target());
            return;
        }
        mLog.write(
                "model.too_late",
                "model",
                key.target(),
                "waiting",
                open.mWishes.size(),
                "expected_ms",
                grant.getExpectedMillis());
        mTraffic.execute(
                () -> open.mTooLate.forEach(each -> each.accept(grant.getExpectedMillis())));
    }
}
