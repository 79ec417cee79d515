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
 * An agent beside one backend server.
 *
 * <p>Starts the relay, the work handler, the controller and the servers, in that order, and stops
 * them in reverse. Used by the thread that starts and stops it.
 */
public final class AgentRole implements Component {
    private static final long TICK_MILLIS = 50;
    private static final long PROGRESS_MILLIS = 500;

    private final AgentSettings mSettings;
    private final CommonComponents mBase;
    private final String mIncarnation = UUID.randomUUID().toString();
    private final Supervisor mSupervisor;
    private final AgentCore mCore;
    private final AgentServer mServer;
    private Optional<Residency> mResidency = Optional.empty();
    private Optional<MemoryLedger> mLedger = Optional.empty();
    private final AdmissionQueue mQueue;

    /**
     * @param settings checked settings
     */
    public AgentRole(AgentSettings settings) {
        mSettings = settings;
        mBase = new CommonComponents(settings.common());
        mQueue =
                new AdmissionQueue(
                        new ClassDeadlineQueuePolicy(settings.urgentMillis()),
                        settings.concurrency(),
                        settings.maxWaiting(),
                        mBase.invariants());
        WorkHandler handler =
                settings.kind().equals(Member.KIND_MODEL) ? modelHandler() : plainHandler();
        mCore =
                new AgentCore(
                        handler,
                        mBase.control(),
                        () -> mBase.members().isSelfLeaving(),
                        mBase.metrics());
        mServer = new AgentServer(mCore, mBase.control(), mIncarnation, this::load, this::hint);
        mSupervisor = supervise();
    }

    private WorkHandler modelHandler() {
        CommonSettings common = mSettings.common();
        MemoryLedger ledger = new MemoryLedger(0, mBase.invariants());
        Residency residency =
                new Residency(
                        common.instanceId(),
                        ledger,
                        new LeastRecentlyUsedEviction(),
                        mBase.invariants());
        mLedger = Optional.of(ledger);
        mResidency = Optional.of(residency);
        return new ModelWorkHandler(
                residency,
                mQueue,
                new HttpModelEngine(
                        mBase.vertx(), mSettings.backendServer(), mSettings.orderTimeoutMillis()),
                mBase.control(),
                mBase.metrics());
    }

    private WorkHandler plainHandler() {
        return new PlainWorkHandler(
                mQueue,
                new HttpPlainService(
                        mBase.vertx(), mSettings.backendServer(), mSettings.callTimeoutMillis()),
                new ShardedIntentLog(
                        mSettings.service(),
                        mBase.store(),
                        mBase.control(),
                        mSettings.intents(),
                        mBase.invariants()),
                mBase.control(),
                mBase.invariants(),
                mBase.metrics());
    }

    private Supervisor supervise() {
        CommonSettings common = mSettings.common();
        PlacementController controller =
                new PlacementController(
                        mBase.members(),
                        mBase.cache(),
                        mBase.store(),
                        mBase.peers(),
                        new PlacementPlanner(new SpreadPlacement()),
                        mBase.control(),
                        mBase.invariants(),
                        mBase.metrics());
        ProcessDescriber description = new ProcessDescriber(mBase);
        PeerServer peers =
                new PeerServer(
                        new RelayMessages(common.instanceId(), mBase.cache()),
                        mBase.control(),
                        () -> description.agent(mCore, mResidency, mLedger, controller));
        List<BindableService> services = List.of(mServer, peers);
        Router router = Router.router(mBase.vertx());
        OperationalRoutes.add(router, mBase.metrics(), () -> !mCore.isLeaving());
        return mBase.newSupervisor("agent")
                .add(mBase.relay())
                .add(new DocumentApplier())
                .add(controller)
                .add(mBase.newGrpcServer(common, services))
                .add(new WebServer(mBase.vertx(), common.host(), common.httpPort(), router));
    }

    private AgentLoad load(Optional<AgentExchange> exchange) {
        WorkHandler handler = mCore.handler();
        return AgentLoad.newBuilder()
                .setActive(handler.active())
                .setWaiting(handler.waiting())
                .setCapacity(handler.capacity())
                .setLeaving(mCore.isLeaving())
                .setResident(exchange.map(handler::isModelLoaded).orElse(false))
                .setConfigurationRevision(mBase.cache().revision(DocumentKeys.CONFIGURATION))
                .setPlacementRevision(mBase.cache().revision(DocumentKeys.PLACEMENT))
                .setIncarnation(mIncarnation)
                .build();
    }

    private void hint(long configurationRevision, long placementRevision) {
        mBase.relay()
                .fetchIfNewer(DocumentKeys.CONFIGURATION, configurationRevision, Optional.empty());
        mBase.relay().fetchIfNewer(DocumentKeys.PLACEMENT, placementRevision, Optional.empty());
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
                mSettings.engineChecksFencing() || mBase.cache().isVerified(DocumentKeys.PLACEMENT);
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
    public Completable drain(Deadline deadline) {
        return Completable.fromAction(mCore::beginDrain)
                .subscribeOn(mBase.control())
                .andThen(Polling.until(mBase.control(), () -> isDrained(deadline)))
                .andThen(mSupervisor.drain(deadline));
    }

    private boolean isDrained(Deadline deadline) {
        boolean idle = mCore.isIdle() && mServer.openCalls() == 0;
        return idle || deadline.isPast(mBase.control().now(TimeUnit.MILLISECONDS));
    }

    @Override
    public Completable stop() {
        return mSupervisor.stop().andThen(Completable.fromAction(() -> mBase.vertx().close()));
    }

    /** Applies documents as they arrive and makes the periodic calls. */
    private final class DocumentApplier implements Component {
        @Override
        public String name() {
            return "document-applier";
        }

        @Override
        public Completable start() {
            return Completable.fromAction(
                    () -> {
                        mBase.cache()
                                .changes()
                                .observeOn(mBase.control())
                                .subscribe(AgentRole.this::apply);
                        mBase.control()
                                .scheduleDirect(
                                        () -> mBase.cache().all().forEach(AgentRole.this::apply));
                        mSupervisor.schedulePeriodically(
                                "tick", TICK_MILLIS, mBase.control(), this::tick);
                        mSupervisor.schedulePeriodically(
                                "progress",
                                PROGRESS_MILLIS,
                                mBase.control(),
                                mServer::sendProgress);
                        mBase.members()
                                .updates()
                                .subscribe(members -> mBase.channels().closeAllExcept(members));
                    });
        }

        private void tick() {
            mCore.tick();
            boolean verified = mBase.cache().isVerified(DocumentKeys.PLACEMENT);
            if (verified && mResidency.isPresent() && !mResidency.get().mayLoad()) {
                mBase.cache().find(DocumentKeys.PLACEMENT).ifPresent(AgentRole.this::apply);
            }
        }

        @Override
        public Completable stop() {
            return Completable.complete();
        }
    }
}
