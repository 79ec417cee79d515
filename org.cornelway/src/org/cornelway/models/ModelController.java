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
import org.cornelway.directory.ServerLife;
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
    private final PlacementRound mRound;
    private final EventLog mLog;
    private final DemandTable mDemand = new DemandTable();
    private final Map<ServerLife, EngineDriver> mDrivers = new HashMap<>();
    private final Map<WishKey, OpenWish> mWishes = new HashMap<>();
    private final Map<ServerLife, Deadline> mDistrusted = new HashMap<>();
    private Optional<RouteTable> mRoutes = Optional.empty();
    private long mVersion;
    private long mNextSpareMillis;
    private boolean mScheduled;

    /** What wishes are merged by. */
    record WishKey(String service, ModelTarget target) {}

    /** Merged wishes and those who wait for the answer. */
    static final class OpenWish {
        private ModelWish mWish;
        private final List<Consumer<ModelAnswer>> mReplies = new ArrayList<>();

        ModelWish wish() {
            return mWish;
        }
    }

    /** Source of the right to give orders. Called on the control thread. */
    public interface TermSource {
        /** Fencing number of the term, or empty while this process may not order. */
        Optional<Long> fence();

        /** Name that orders are given under. */
        String holder();

        /** An engine saw a later term. */
        void outranked();
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
        mRound = new PlacementRound(planner, mDemand, STORE_LOADS_AT_ONCE);
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Demand as the entries report it. */
    public DemandTable demand() {
        return mDemand;
    }

    /** Changes with what the engines hold. */
    public long version() {
        return mVersion;
    }

    /** Forgets the engines: another process may have ordered since. */
    public void beginTerm(DirectorySnapshot directory) {
        mRound.keepAllUntil(Deadline.after(now(), WARM_UP_MILLIS));
        mDrivers.clear();
        directoryChanged(directory);
    }

    /** Answers all wishes: another process is the controller now. */
    public void endTerm() {
        List<OpenWish> open = new ArrayList<>(mWishes.values());
        mWishes.clear();
        mDrivers.clear();
        open.forEach(wish -> answer(wish, new ModelAnswer.NotController()));
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
                                server.life(),
                                life -> new EngineDriver(server, host, mEngines, mControl, this))
                        .announced(server);
            }
        }
        mVersion++;
    }

    private Optional<EngineDefinition> engine(String service) {
        return mRoutes.flatMap(table -> table.service(service)).flatMap(ServiceDefinition::engine);
    }

    /** Asks for a model; the answer may come at once or much later. */
    public void ask(ModelWish wish, Consumer<ModelAnswer> reply) {
        if (mTerms.fence().isEmpty()) {
            reply.accept(new ModelAnswer.NotController());
            return;
        }
        WishKey key = new WishKey(wish.service(), wish.target());
        OpenWish open = mWishes.computeIfAbsent(key, k -> new OpenWish());
        open.mWish = open.mWish == null ? wish : merged(open.mWish, wish);
        open.mReplies.add(reply);
        wish.notHeldBy().ifPresent(this::distrust);
        schedule();
    }

    private static ModelWish merged(ModelWish one, ModelWish other) {
        boolean later = one.deadline().compareTo(other.deadline()) < 0;
        return new ModelWish(
                one.service(),
                one.target(),
                later ? other.deadline() : one.deadline(),
                Math.min(one.priority(), other.priority()),
                one.sinceMillis(),
                one.waiting() + other.waiting(),
                other.notHeldBy().or(one::notHeldBy));
    }

    /** An engine that contradicts what is believed is read before it is named again. */
    private void distrust(ServerLife life) {
        EngineDriver driver = mDrivers.get(life);
        if (driver != null && mDistrusted.getOrDefault(life, new Deadline(0)).isPast(now())) {
            mDistrusted.put(life, Deadline.after(now(), PlacementRound.DISTRUST_MILLIS));
            driver.mustRead();
        }
    }

    /** Called a few times a second, and whenever something changed. */
    public void work() {
        mScheduled = false;
        if (mTerms.fence().isEmpty() || mRoutes.isEmpty()) {
            return;
        }
        long now = now();
        List.copyOf(mDrivers.values()).forEach(driver -> driver.advance(now));
        List<OpenWish> open = new ArrayList<>(mWishes.values());
        open.sort(
                Comparator.comparingInt((OpenWish wish) -> wish.wish().priority())
                        .thenComparing(wish -> wish.wish().deadline()));
        for (OpenWish wish : open) {
            List<EngineDriver> drivers = driversOf(wish);
            Optional<ModelAnswer> answer =
                    mRound.serve(wish.wish(), census(drivers), drivers, engineOf(wish), now);
            if (answer.isPresent()) {
                mWishes.remove(new WishKey(wish.wish().service(), wish.wish().target()));
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
                            mRound.spread(all, engine, census(all), now);
                            mRound.fill(all, engine, census(all), now);
                            mRound.fetch(all, engine, census(all), now);
                        });
    }

    private Census census(List<EngineDriver> drivers) {
        return new Census(drivers, Census.models(mWishes.keySet()));
    }

    private List<EngineDriver> driversOf(OpenWish wish) {
        return drivers(wish.wish().service());
    }

    private List<EngineDriver> drivers(String service) {
        return mDrivers.values().stream()
                .filter(driver -> driver.server().service().equals(service))
                .sorted(Comparator.comparing(driver -> driver.server().id()))
                .toList();
    }

    private Optional<EngineDefinition> engineOf(OpenWish wish) {
        return engine(wish.wish().service());
    }

    private void answer(OpenWish open, ModelAnswer answer) {
        open.mReplies.forEach(reply -> reply.accept(answer));
        mLog.write(
                "model.answered",
                "model",
                open.wish().target(),
                "waiting",
                open.mReplies.size(),
                "answer",
                answer,
                "version",
                mVersion);
    }

    /** The engines that hold something, for entries that ask. */
    public Map<ServerLife, Map<String, HeldAdapters>> holdings() {
        Map<ServerLife, Map<String, HeldAdapters>> all = new HashMap<>();
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
        return mTerms.fence().map(fence -> new EngineListener.Term(mTerms.holder(), fence));
    }

    @Override
    public void changed(EngineDriver engine) {
        mVersion++;
        schedule();
    }

    /** Answers, reports and wishes come in bursts; one round serves them all. */
    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mControl.scheduleDirect(this::work, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void outranked() {
        mTerms.outranked();
    }

    @Override
    public void ordered(ServerRecord server, ServerOrder order, OrderReply reply) {
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
                order.fence(),
                "reply",
                reply);
    }
}
