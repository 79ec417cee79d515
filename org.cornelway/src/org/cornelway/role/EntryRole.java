package org.cornelway.role;

import io.grpc.BindableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.ext.web.Router;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import org.cornelway.admin.ConfigurationEditor;
import org.cornelway.admin.StatusCollector;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.PresetIndex;
import org.cornelway.entry.DocumentRevisions;
import org.cornelway.entry.EntryContext;
import org.cornelway.entry.EntryCore;
import org.cornelway.entry.RetryBudget;
import org.cornelway.http.AdminRoutes;
import org.cornelway.http.CallerRoutes;
import org.cornelway.http.OperationalRoutes;
import org.cornelway.http.WebServer;
import org.cornelway.internal.grpc.GrpcAgentGateway;
import org.cornelway.internal.grpc.PeerServer;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.Member;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.RelayMessages;
import org.cornelway.routing.AgentLoadTable;
import org.cornelway.routing.LoadAwareChooser;
import org.cornelway.routing.RoutingView;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.Polling;
import org.cornelway.supervisor.Supervisor;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * The process of an entry that forwards requests to agents. It runs behind the load balancer.
 *
 * <p>Starts the channels, the member poller, the document relay, the view updater and the gRPC and
 * HTTP servers in this order, and stops them in reverse order. Its methods are called only by the
 * thread that starts and stops the process. The decoded documents are confined to the control
 * thread; requests read them through the routing view, which is replaced as a whole.
 */
public final class EntryRole implements Component {
    private static final int TRAFFIC_THREADS = 2;

    /** Largest number of unused retries that the retry budget holds. */
    private static final double RETRY_BURST = 50;

    private final EntrySettings mSettings;
    private final CommonComponents mCommon;
    private final AgentLoadTable mLoads;
    private final EntryCore mCore;
    private final Supervisor mSupervisor;
    private volatile RoutingView mView = RoutingView.empty();
    private Optional<PresetIndex> mPresetIndex = Optional.empty();
    private PlacementDocument mPlacement = PlacementDocument.empty(0);

    /**
     * @param settings validated settings
     */
    public EntryRole(EntrySettings settings) {
        mSettings = settings;
        mCommon = new CommonComponents(settings.common());
        Clock clock = () -> mCommon.control().now(TimeUnit.MILLISECONDS);
        mLoads = new AgentLoadTable(clock);
        Scheduler traffic =
                Schedulers.from(
                        Executors.newScheduledThreadPool(
                                TRAFFIC_THREADS, task -> new Thread(task, "traffic")));
        IntUnaryOperator random = bound -> ThreadLocalRandom.current().nextInt(bound);
        EntryContext context =
                new EntryContext(
                        new GrpcAgentGateway(mCommon.channels(), mCommon.authenticator()),
                        new LoadAwareChooser(random, settings.intentShards()),
                        mLoads,
                        () -> mView,
                        new RelayRevisions(),
                        new RetryBudget(settings.retryShare(), RETRY_BURST),
                        traffic,
                        random,
                        mCommon.invariants(),
                        mCommon.metrics());
        mCore = new EntryCore(context, settings.maxOpenRequests());
        mSupervisor = newSupervisor(clock);
    }

    private Supervisor newSupervisor(Clock clock) {
        CommonSettings common = mSettings.common();
        ProcessDescriber describer = new ProcessDescriber(mCommon);
        PeerServer peerServer =
                new PeerServer(
                        new RelayMessages(common.instanceId(), mCommon.cache()),
                        mCommon.control(),
                        () -> describe(describer));
        List<BindableService> services = List.of(peerServer);
        ConfigurationEditor editor =
                new ConfigurationEditor(
                        mCommon.store(), mCommon.cache(), mCommon.members(), mCommon.control());
        StatusCollector status =
                new StatusCollector(mCommon.members(), mCommon.cache(), mCommon.peerClient());
        Router router = Router.router(mCommon.vertx());
        OperationalRoutes.add(router, mCommon.metrics(), this::isReady);
        new AdminRoutes(editor, status, mSettings.operatorToken()).add(router);
        new CallerRoutes(
                        mCore,
                        clock,
                        mSettings.defaultDeadlineMillis(),
                        mSettings.maxDeadlineMillis())
                .add(router);
        return mCommon.newSupervisor("entry")
                .add(mCommon.relay())
                .add(new ViewUpdater())
                .add(mCommon.newGrpcServer(common, services))
                .add(new WebServer(mCommon.vertx(), common.host(), common.httpPort(), router));
    }

    private DescribeReply describe(ProcessDescriber describer) {
        return describer
                .describeCommon("entry")
                .setActive(mCore.openRequestCount())
                .setLeaving(mCore.isDraining())
                .setPlacementFencingNumber(mPlacement.fencingNumber())
                .build();
    }

    private boolean isReady() {
        return !mSupervisor.isStopRequested() && mView.preset().isPresent();
    }

    private void applyDocument(KeyValue document) {
        if (document.key().equals(DocumentKeys.CONFIGURATION)) {
            Json.read(document.value(), Configuration.class)
                    .ifPresent(c -> mPresetIndex = Optional.of(new PresetIndex(c.preset())));
        } else if (document.key().equals(DocumentKeys.PLACEMENT)) {
            Json.read(document.value(), PlacementDocument.class).ifPresent(p -> mPlacement = p);
        }
        updateView(mCommon.members().all());
    }

    private void updateView(Map<String, Member> members) {
        mView = new RoutingView(mPresetIndex, mPlacement, members);
    }

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public Completable start() {
        return mSupervisor.start();
    }

    @Override
    public void requestStop() {
        mSupervisor.requestStop();
    }

    @Override
    public Completable drain(Deadline deadline) {
        return Completable.fromAction(mCore::beginDrain)
                .andThen(Polling.until(mCommon.control(), () -> isDrainedOrPastDeadline(deadline)))
                .andThen(mSupervisor.drain(deadline));
    }

    private boolean isDrainedOrPastDeadline(Deadline deadline) {
        boolean isPast = deadline.isPast(mCommon.control().now(TimeUnit.MILLISECONDS));
        return mCore.openRequestCount() == 0 || isPast;
    }

    @Override
    public Completable stop() {
        return mSupervisor.stop().andThen(Completable.fromAction(() -> mCommon.vertx().close()));
    }

    /** Keeps the routing view up to date. */
    private final class ViewUpdater implements Component {
        @Override
        public String name() {
            return "view-updater";
        }

        @Override
        public Completable start() {
            return Completable.fromAction(
                    () -> {
                        mCommon.cache()
                                .changes()
                                .observeOn(mCommon.control())
                                .subscribe(EntryRole.this::applyDocument);
                        mCommon.control()
                                .scheduleDirect(
                                        () ->
                                                mCommon.cache()
                                                        .all()
                                                        .forEach(EntryRole.this::applyDocument));
                        mCommon.members()
                                .updates()
                                .observeOn(mCommon.control())
                                .subscribe(this::onMembersChanged);
                    });
        }

        private void onMembersChanged(Map<String, Member> members) {
            updateView(members);
            mLoads.retain(members);
            mCommon.channels().closeAllExcept(members);
        }

        @Override
        public Completable stop() {
            return Completable.complete();
        }
    }

    /**
     * Provides the revisions of the cached documents. Fetches a document from an agent whose load
     * report names a newer revision.
     */
    private final class RelayRevisions implements DocumentRevisions {
        @Override
        public long configurationRevision() {
            return mCommon.cache().revision(DocumentKeys.CONFIGURATION);
        }

        @Override
        public long placementRevision() {
            return mCommon.cache().revision(DocumentKeys.PLACEMENT);
        }

        @Override
        public void onAgentLoad(Member agent, AgentLoad load) {
            Optional<Member> source = Optional.of(agent);
            mCommon.relay()
                    .fetchIfNewer(
                            DocumentKeys.CONFIGURATION, load.getConfigurationRevision(), source);
            mCommon.relay()
                    .fetchIfNewer(DocumentKeys.PLACEMENT, load.getPlacementRevision(), source);
        }
    }
}
