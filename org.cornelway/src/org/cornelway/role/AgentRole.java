package org.cornelway.role;

import io.grpc.BindableService;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.ext.web.Router;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.admission.ClassDeadlineQueuePolicy;
import org.cornelway.agent.AgentCore;
import org.cornelway.agent.AgentExchange;
import org.cornelway.agent.ModelWorkHandler;
import org.cornelway.agent.PlainWorkHandler;
import org.cornelway.agent.WorkHandler;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.PresetIndex;
import org.cornelway.controller.PlacementController;
import org.cornelway.http.OperationalRoutes;
import org.cornelway.http.WebServer;
import org.cornelway.intent.ShardedIntentLog;
import org.cornelway.internal.grpc.AgentServer;
import org.cornelway.internal.grpc.PeerServer;
import org.cornelway.internal.platform.HttpModelEngine;
import org.cornelway.internal.platform.HttpPlainService;
import org.cornelway.memory.MemoryLedger;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.PlacementPlanner;
import org.cornelway.placement.SpreadPlacement;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.Member;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.RelayMessages;
import org.cornelway.residency.LeastRecentlyUsedEviction;
import org.cornelway.residency.Residency;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.Polling;
import org.cornelway.supervisor.Supervisor;
import org.cornelway.time.Deadline;

/**
 * The process of an agent, which runs next to one backend server.
 *
 * <p>Starts the document relay, the document applier, the placement controller and the servers in
 * this order, and stops them in reverse order. Its public methods are called only by the thread
 * that starts and stops the process.
 */
public final class AgentRole implements Component {
    private static final long TICK_PERIOD_MILLIS = 50;
    private static final long PROGRESS_PERIOD_MILLIS = 500;

    private final AgentSettings mSettings;
    private final CommonComponents mCommon;

    /** Unique id of this run of the process. */
    private final String mIncarnation = UUID.randomUUID().toString();

    private final Supervisor mSupervisor;
    private final AgentCore mCore;
    private final AgentServer mServer;
    private Optional<Residency> mResidency = Optional.empty();
    private Optional<MemoryLedger> mLedger = Optional.empty();
    private final AdmissionQueue mQueue;

    /**
     * @param settings validated settings
     */
    public AgentRole(AgentSettings settings) {
        mSettings = settings;
        mCommon = new CommonComponents(settings.common());
        mQueue =
                new AdmissionQueue(
                        new ClassDeadlineQueuePolicy(settings.urgentMillis()),
                        settings.concurrency(),
                        settings.maxWaiting(),
                        mCommon.invariants());
        WorkHandler handler =
                settings.kind().equals(Member.KIND_MODEL)
                        ? createModelHandler()
                        : createPlainHandler();
        mCore =
                new AgentCore(
                        handler,
                        mCommon.control(),
                        () -> mCommon.members().isSelfLeaving(),
                        mCommon.metrics());
        mServer =
                new AgentServer(
                        mCore,
                        mCommon.control(),
                        mIncarnation,
                        this::currentLoad,
                        this::fetchIfNewer);
        mSupervisor = newSupervisor();
    }

    /**
     * Creates the handler of model requests; also sets {@link #mResidency} and {@link #mLedger}.
     */
    private WorkHandler createModelHandler() {
        CommonSettings common = mSettings.common();
        MemoryLedger ledger = new MemoryLedger(0, mCommon.invariants());
        Residency residency =
                new Residency(
                        common.instanceId(),
                        ledger,
                        new LeastRecentlyUsedEviction(),
                        mCommon.invariants());
        mLedger = Optional.of(ledger);
        mResidency = Optional.of(residency);
        return new ModelWorkHandler(
                residency,
                mQueue,
                new HttpModelEngine(
                        mCommon.vertx(), mSettings.backendServer(), mSettings.orderTimeoutMillis()),
                mCommon.control(),
                mCommon.metrics());
    }

    private WorkHandler createPlainHandler() {
        return new PlainWorkHandler(
                mQueue,
                new HttpPlainService(
                        mCommon.vertx(), mSettings.backendServer(), mSettings.callTimeoutMillis()),
                new ShardedIntentLog(
                        mSettings.service(),
                        mCommon.store(),
                        mCommon.control(),
                        mSettings.intents(),
                        mCommon.invariants()),
                mCommon.control(),
                mCommon.invariants(),
                mCommon.metrics());
    }

    private Supervisor newSupervisor() {
        CommonSettings common = mSettings.common();
        PlacementController controller =
                new PlacementController(
                        mCommon.members(),
                        mCommon.cache(),
                        mCommon.store(),
                        mCommon.peerClient(),
                        new PlacementPlanner(new SpreadPlacement()),
                        mCommon.control(),
                        mCommon.invariants(),
                        mCommon.metrics());
        ProcessDescriber describer = new ProcessDescriber(mCommon);
        PeerServer peerServer =
                new PeerServer(
                        new RelayMessages(common.instanceId(), mCommon.cache()),
                        mCommon.control(),
                        () -> describer.describeAgent(mCore, mResidency, mLedger, controller));
        List<BindableService> services = List.of(mServer, peerServer);
        Router router = Router.router(mCommon.vertx());
        OperationalRoutes.add(router, mCommon.metrics(), this::isReady);
        return mCommon.newSupervisor("agent")
                .add(mCommon.relay())
                .add(new DocumentApplier())
                .add(controller)
                .add(mCommon.newGrpcServer(common, services))
                .add(new WebServer(mCommon.vertx(), common.host(), common.httpPort(), router));
    }

    private boolean isReady() {
        return !mCore.isLeaving() && !mSupervisor.isStopRequested();
    }

    private AgentLoad currentLoad(Optional<AgentExchange> exchange) {
        WorkHandler handler = mCore.handler();
        return AgentLoad.newBuilder()
                .setActive(handler.runningCount())
                .setWaiting(handler.waitingCount())
                .setCapacity(handler.capacity())
                .setLeaving(mCore.isLeaving())
                .setResident(exchange.map(handler::isModelLoaded).orElse(false))
                .setConfigurationRevision(mCommon.cache().revision(DocumentKeys.CONFIGURATION))
                .setPlacementRevision(mCommon.cache().revision(DocumentKeys.PLACEMENT))
                .setIncarnation(mIncarnation)
                .build();
    }

    private void fetchIfNewer(long configurationRevision, long placementRevision) {
        mCommon.relay()
                .fetchIfNewer(DocumentKeys.CONFIGURATION, configurationRevision, Optional.empty());
        mCommon.relay().fetchIfNewer(DocumentKeys.PLACEMENT, placementRevision, Optional.empty());
    }

    private void apply(KeyValue document) {
        if (document.key().equals(DocumentKeys.CONFIGURATION)) {
            Json.read(document.value(), Configuration.class).ifPresent(this::apply);
        } else if (document.key().equals(DocumentKeys.PLACEMENT)) {
            Json.read(document.value(), PlacementDocument.class).ifPresent(this::apply);
        }
    }

    private void apply(Configuration configuration) {
        mQueue.setDeferredShare(configuration.preset().deferredShare());
        mResidency.ifPresent(r -> r.applyPreset(new PresetIndex(configuration.preset())));
    }

    private void apply(PlacementDocument document) {
        boolean mayLoad =
                mSettings.engineChecksFencing()
                        || mCommon.cache().isVerified(DocumentKeys.PLACEMENT);
        mResidency.ifPresent(r -> r.applyPlacement(document, mayLoad));
    }

    @Override
    public String name() {
        return "agent";
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
                .subscribeOn(mCommon.control())
                .andThen(Polling.until(mCommon.control(), () -> isDrainedOrPastDeadline(deadline)))
                .andThen(mSupervisor.drain(deadline));
    }

    private boolean isDrainedOrPastDeadline(Deadline deadline) {
        boolean idle = mCore.isIdle() && mServer.openCallCount() == 0;
        return idle || deadline.isPast(mCommon.control().now(TimeUnit.MILLISECONDS));
    }

    @Override
    public Completable stop() {
        return mSupervisor.stop().andThen(Completable.fromAction(() -> mCommon.vertx().close()));
    }

    /**
     * Applies documents as they arrive, runs the periodic tasks, and closes the channels to
     * processes that are no longer members.
     */
    private final class DocumentApplier implements Component {
        @Override
        public String name() {
            return "document-applier";
        }

        @Override
        public Completable start() {
            return Completable.fromAction(
                    () -> {
                        mCommon.cache()
                                .changes()
                                .observeOn(mCommon.control())
                                .subscribe(AgentRole.this::apply);
                        mCommon.control()
                                .scheduleDirect(
                                        () -> mCommon.cache().all().forEach(AgentRole.this::apply));
                        mSupervisor.schedulePeriodically(
                                "tick", TICK_PERIOD_MILLIS, mCommon.control(), this::tick);
                        mSupervisor.schedulePeriodically(
                                "progress",
                                PROGRESS_PERIOD_MILLIS,
                                mCommon.control(),
                                mServer::sendProgress);
                        mCommon.members()
                                .updates()
                                .subscribe(members -> mCommon.channels().closeAllExcept(members));
                    });
        }

        private void tick() {
            mCore.tick();
            boolean verified = mCommon.cache().isVerified(DocumentKeys.PLACEMENT);
            // A placement that was applied before it was verified allows no loads; apply it again.
            if (verified && mResidency.isPresent() && !mResidency.get().mayLoad()) {
                mCommon.cache().find(DocumentKeys.PLACEMENT).ifPresent(AgentRole.this::apply);
            }
        }

        @Override
        public Completable stop() {
            return Completable.complete();
        }
    }
}
