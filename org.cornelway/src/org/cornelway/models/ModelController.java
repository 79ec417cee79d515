package org.cornelway.models;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.RouteTable;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;

/**
 * Decides, while this process is the controller, what the engines load, and answers wishes.
 *
 * <p>Its state is rebuilt in each term from the directory and the engines' reports. Confined to the
 * control thread.
 */
public final class ModelController implements EngineListener {
    /** Loads from the weight store at once; more share its rate and each takes longer. */
    private static final int STORE_LOADS_AT_ONCE = 4;

    /** Time between two looks at what could be loaded ahead. */
    private static final long SPARE_MILLIS = 150;

    /** Time at the start of a term in which nothing is displaced: the entries report meanwhile. */
    private static final long WARM_UP_MILLIS = 600;

    /** Time within which changes are gathered into one round. */
    private static final long GATHER_MILLIS = 2;

    private final EngineControl mEngines;
    private final Scheduler mControl;
    private final TermSource mTerms;
    private final ModelScheduler mRound;
    private final EventLog mLog;
    private final DemandTable mDemand = new DemandTable();
    private final Map<ServerIncarnation, EngineDriver> mDrivers = new HashMap<>();
    private final Map<RequestKey, PendingRequest> mWishes = new HashMap<>();
    private final Map<ServerIncarnation, Deadline> mDistrusted = new HashMap<>();
    private Optional<RouteTable> mRoutes = Optional.empty();
    private long mVersion;
    private long mNextSpareMillis;
    private boolean mScheduled;

    /** What wishes are merged by. */
    record RequestKey(String service, ModelTarget target) {}

    /** Merged wishes and those who wait for the answer. */
    static final class PendingRequest {
        private ModelRequest mWish;
        private final List<Consumer<ModelRequestOutcome>> mReplies = new ArrayList<>();

        ModelRequest request() {
            return mWish;
        }
    }

    /** Source of the right to give orders. Called on the control thread. */
    public interface TermSource {
        /** Fencing number of the term, or empty while this process may not order. */
        Optional<Long> fencingNumber();

        /** Name that orders are given under. */
        String holder();

        /** An engine saw a later term. */
        void onFenced();
    }

    /**
     * @param planner choice of where a model is loaded
     */
    public ModelController(
            EngineControl engines,
            Scheduler control,
            TermSource terms,
            LoadPlanner planner,
            EventLog log) {
        mEngines = engines;
        mControl = control;
        mTerms = terms;
        mLog = log;
        mRound = new ModelScheduler(planner, mDemand, STORE_LOADS_AT_ONCE);
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Demand as the entries report it. */
    public DemandTable demand() {
        return mDemand;
    }

    /** Changes with what the engines hold. */
    public long holdingsVersion() {
        return mVersion;
    }

    /** Forgets the engines: another process may have ordered since. */
    public void beginTerm(DirectorySnapshot directory) {
        mRound.suspendEvictionUntil(Deadline.after(now(), WARM_UP_MILLIS));
        mDrivers.clear();
        directoryChanged(directory);
    }

    /** Answers all wishes: another process is the controller now. */
    public void endTerm() {
        List<PendingRequest> open = new ArrayList<>(mWishes.values());
        mWishes.clear();
        mDrivers.clear();
        open.forEach(wish -> answer(wish, new ModelRequestOutcome.NotController()));
    }

    /** Takes over a configuration. */
    public void routesChanged(RouteTable routes) {
        mRoutes = Optional.of(routes);
    }

    /** Takes over the servers known now. */
    public void directoryChanged(DirectorySnapshot directory) {
        mDrivers.keySet().removeIf(life -> !directory.isUsable(life));
        for (ServerRecord server : directory.all().values()) {
            Optional<EngineDefinition> engine = engine(server.service());
            if (!server.draining() && engine.isPresent()) {
                double host = engine.get().hostMegabytes();
                mDrivers.computeIfAbsent(
                                server.incarnation(),
                                life -> new EngineDriver(server, host, mEngines, mControl, this))
                        .updateRecord(server);
            }
        }
        mVersion++;
    }

    private Optional<EngineDefinition> engine(String service) {
        return mRoutes.flatMap(table -> table.service(service)).flatMap(ServiceDefinition::engine);
    }

    /** Asks for a model; the answer may come at once or much later. */
    public void submit(ModelRequest wish, Consumer<ModelRequestOutcome> reply) {
        if (mTerms.fencingNumber().isEmpty()) {
            reply.accept(new ModelRequestOutcome.NotController());
            return;
        }
        RequestKey key = new RequestKey(wish.service(), wish.target());
        PendingRequest open = mWishes.computeIfAbsent(key, k -> new PendingRequest());
        open.mWish = open.mWish == null ? wish : merged(open.mWish, wish);
        open.mReplies.add(reply);
        wish.notHeldBy().ifPresent(this::distrust);
        schedule();
    }

    private static ModelRequest merged(ModelRequest one, ModelRequest other) {
        boolean later = one.deadline().compareTo(other.deadline()) < 0;
        return new ModelRequest(
                one.service(),
                one.target(),
                later ? other.deadline() : one.deadline(),
                Math.min(one.priority(), other.priority()),
                one.firstArrivalMillis(),
                one.waitingCalls() + other.waitingCalls(),
                other.notHeldBy().or(one::notHeldBy));
    }

    /** An engine that contradicts what is believed is read before it is named again. */
    private void distrust(ServerIncarnation life) {
        EngineDriver driver = mDrivers.get(life);
        if (driver != null && mDistrusted.getOrDefault(life, new Deadline(0)).isPast(now())) {
            mDistrusted.put(life, Deadline.after(now(), ModelScheduler.REREAD_INTERVAL_MILLIS));
            driver.requireReport();
        }
    }

    /** Called a few times a second, and whenever something changed. */
    public void runRound() {
        mScheduled = false;
        if (mTerms.fencingNumber().isEmpty() || mRoutes.isEmpty()) {
            return;
        }
        long now = now();
        List.copyOf(mDrivers.values()).forEach(driver -> driver.advance(now));
        List<PendingRequest> open = new ArrayList<>(mWishes.values());
        open.sort(
                Comparator.comparingInt((PendingRequest wish) -> wish.request().priority())
                        .thenComparing(wish -> wish.request().deadline()));
        for (PendingRequest wish : open) {
            List<EngineDriver> drivers = driversOf(wish);
            Optional<ModelRequestOutcome> answer =
                    mRound.findOrLoad(
                            wish.request(), census(drivers), drivers, engineOf(wish), now);
            if (answer.isPresent()) {
                mWishes.remove(new RequestKey(wish.request().service(), wish.request().target()));
                answer(wish, answer.get());
            }
        }
        if (now >= mNextSpareMillis) {
            mNextSpareMillis = now + SPARE_MILLIS;
            useSpareTime(now);
        }
        List.copyOf(mDrivers.values()).forEach(driver -> driver.advance(now));
    }

    /** Loads that no call waits for. */
    private void useSpareTime(long now) {
        mRoutes.get().configuration().services().keySet().stream()
                .filter(service -> engine(service).isPresent())
                .forEach(
                        service -> {
                            List<EngineDriver> all = drivers(service);
                            EngineDefinition engine = engine(service).get();
                            mRound.addReplicas(all, engine, census(all), now);
                            mRound.fillFreeMemory(all, engine, census(all), now);
                            mRound.prefetchFromStore(all, engine, census(all), now);
                        });
    }

    private ReplicaCounts census(List<EngineDriver> drivers) {
        return new ReplicaCounts(drivers, ReplicaCounts.requestedModels(mWishes.keySet()));
    }

    private List<EngineDriver> driversOf(PendingRequest wish) {
        return drivers(wish.request().service());
    }

    private List<EngineDriver> drivers(String service) {
        return mDrivers.values().stream()
                .filter(driver -> driver.server().service().equals(service))
                .sorted(Comparator.comparing(driver -> driver.server().id()))
                .toList();
    }

    private Optional<EngineDefinition> engineOf(PendingRequest wish) {
        return engine(wish.request().service());
    }

    private void answer(PendingRequest open, ModelRequestOutcome answer) {
        open.mReplies.forEach(reply -> reply.accept(answer));
        mLog.write(
                "model.answered",
                "model",
                open.request().target(),
                "waiting",
                open.mReplies.size(),
                "answer",
                answer,
                "version",
                mVersion);
    }

    /** The engines that hold something, for entries that ask. */
    public Map<ServerIncarnation, Map<String, HeldAdapters>> holdings() {
        Map<ServerIncarnation, Map<String, HeldAdapters>> all = new HashMap<>();
        mDrivers.forEach(
                (life, driver) -> {
                    if (driver.isKnown()) {
                        all.put(life, driver.models());
                    }
                });
        return all;
    }

    @Override
    public Optional<EngineListener.Term> term() {
        return mTerms.fencingNumber().map(fence -> new EngineListener.Term(mTerms.holder(), fence));
    }

    @Override
    public void onStateChanged(EngineDriver engine) {
        mVersion++;
        schedule();
    }

    /** Answers, reports and wishes come in bursts; one round serves them all. */
    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mControl.scheduleDirect(this::runRound, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void onFenced() {
        mTerms.onFenced();
    }

    @Override
    public void onOrderReply(ServerRecord server, ServerOrder order, OrderReply reply) {
        mLog.write(
                "engine.order",
                "server",
                server.id(),
                "load",
                order.load(),
                "model",
                order.model(),
                "adapter",
                order.adapter().orElse("-"),
                "orders",
                order.expectedOrders(),
                "fence",
                order.fencingNumber(),
                "reply",
                reply);
    }
}
