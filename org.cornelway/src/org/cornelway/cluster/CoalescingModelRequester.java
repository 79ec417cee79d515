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
 * Requests models from the current controller on behalf of the calls of this process.
 *
 * <p>Calls that wait for the same model on the same service share one request. Requests arrive on
 * the traffic thread and are handed over to the control thread, to which all state is confined.
 */
public final class CoalescingModelRequester implements ModelRequester {
    /**
     * Longest wait for one reply. If none has arrived by then, the request is sent again to the
     * controller known at that time.
     */
    private static final long REPLY_TIMEOUT_MILLIS = 2_500;

    /**
     * Delay before a request is sent again if no controller is known, the call failed, or the
     * called process is not the controller.
     */
    private static final long RETRY_DELAY_MILLIS = 60;

    private final String mSelf;
    private final Election mElection;
    private final ControllerRequestHandler mLocalHandler;
    private final ControllerClient mClient;
    private final Scheduler mControl;
    private final Clock mClock;
    private final EventLog mLog;
    private final TrafficPlane mTraffic;
    private final Map<Key, PendingRequest> mPending = new HashMap<>();

    /** Service and target that a call waits for; calls with equal keys share one request. */
    private record Key(String service, ModelTarget target) {}

    /** A request in progress and the calls that wait for it. */
    private static final class PendingRequest {
        private final List<Request> mRequests = new ArrayList<>();
        private final List<LongConsumer> mTooLateCallbacks = new ArrayList<>();
    }

    /**
     * @param self this process's instance id
     * @param clock clock that the calls' deadlines refer to
     */
    public CoalescingModelRequester(
            String self,
            Election election,
            ControllerRequestHandler localHandler,
            ControllerClient client,
            Scheduler control,
            Clock clock,
            EventLog log,
            TrafficPlane traffic) {
        mSelf = self;
        mElection = election;
        mLocalHandler = localHandler;
        mClient = client;
        mControl = control;
        mClock = clock;
        mLog = log;
        mTraffic = traffic;
    }

    @Override
    public void requestModel(Request request, LongConsumer tooLate) {
        mControl.scheduleDirect(() -> add(request, tooLate));
    }

    private void add(Request request, LongConsumer tooLate) {
        Key key = new Key(request.service(), request.target());
        PendingRequest pending = mPending.get(key);
        boolean isNew = pending == null;
        if (isNew) {
            pending = new PendingRequest();
            mPending.put(key, pending);
        }
        pending.mRequests.add(request);
        pending.mTooLateCallbacks.add(tooLate);
        if (isNew) {
            send(key);
        }
    }

    private void send(Key key) {
        PendingRequest pending = mPending.get(key);
        if (pending == null) {
            return;
        }
        long latestDeadlineMillis =
                pending.mRequests.stream()
                        .map(Request::deadline)
                        .mapToLong(Deadline::epochMillis)
                        .max()
                        .orElse(0);
        long remainingMillis = latestDeadlineMillis - mClock.nowMillis();
        if (remainingMillis <= 0) {
            // The deadlines of all waiting calls have passed, so no callback is run.
            mPending.remove(key);
            return;
        }
        Optional<Single<ModelGrant>> reply =
                sendToController(newMessage(key, pending, remainingMillis));
        if (reply.isEmpty()) {
            retryLater(key);
            return;
        }
        reply.get()
                .observeOn(mControl)
                .subscribe(grant -> onReply(key, grant), e -> retryLater(key));
    }

    private ModelAsk newMessage(Key key, PendingRequest pending, long remainingMillis) {
        Request lastRequest = pending.mRequests.get(pending.mRequests.size() - 1);
        return ModelAsk.newBuilder()
                .setFrom(mSelf)
                .setService(key.service())
                .setModel(key.target().model())
                .setAdapter(key.target().adapter())
                .setRemainingMillis(remainingMillis)
                .setPriority(pending.mRequests.stream().mapToInt(Request::priority).min().orElse(0))
                .setObjectiveMillis(
                        pending.mRequests.stream()
                                .mapToLong(Request::objectiveMillis)
                                .min()
                                .orElse(0))
                .setRemainingObjectiveMillis(
                        pending.mRequests.stream()
                                        .map(Request::objective)
                                        .mapToLong(Deadline::epochMillis)
                                        .min()
                                        .orElse(0)
                                - mClock.nowMillis())
                .setCalls(pending.mRequests.size())
                .setNotHeldBy(lastRequest.notHeldBy().map(ServerIncarnation::id).orElse(""))
                .build();
    }

    /**
     * Sends a request to the controller, which may be this process. Returns empty if no controller
     * is known, or if the controller key in the key-value service names this process although it is
     * not in a term.
     */
    private Optional<Single<ModelGrant>> sendToController(ModelAsk message) {
        if (mElection.fencingNumber().isPresent()) {
            return Optional.of(
                    Single.create(e -> mLocalHandler.handleModelRequest(message, e::onSuccess)));
        }
        long waitMillis = Math.min(REPLY_TIMEOUT_MILLIS, message.getRemainingMillis());
        return mElection
                .controller()
                .map(ClusterMember::toMember)
                .filter(member -> !member.id().equals(mSelf))
                .map((Member member) -> mClient.requestModel(member, message, waitMillis));
    }

    private void retryLater(Key key) {
        mControl.scheduleDirect(() -> send(key), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onReply(Key key, ModelGrant grant) {
        if (grant.getOutcome() == ModelGrant.Outcome.NOT_CONTROLLER) {
            retryLater(key);
            return;
        }
        PendingRequest pending = mPending.remove(key);
        if (pending == null) {
            return;
        }
        if (grant.getOutcome() == ModelGrant.Outcome.HELD) {
            ServerIncarnation server = new ServerIncarnation(grant.getServer(), grant.getBorn());
            mTraffic.onModelGranted(server, key.target());
            return;
        }
        mLog.write(
                "model.too_late",
                "model",
                key.target(),
                "waiting",
                pending.mRequests.size(),
                "expected_ms",
                grant.getExpectedMillis());
        mTraffic.execute(
                () ->
                        pending.mTooLateCallbacks.forEach(
                                each -> each.accept(grant.getExpectedMillis())));
    }
}
