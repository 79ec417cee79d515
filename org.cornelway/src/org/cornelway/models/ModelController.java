package org.cornelway.models;

import io.reactivex.rxjava3.core.Scheduler;
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
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.RouteTable;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.time.Deadline;

/**
 * Decides which models the engines load and unload while this process is the controller, and
 * answers model requests.
 *
 * <p>Its state is rebuilt in each term from the directory and the engines' reports. Confined to the
 * control thread.
 */
public final class ModelController implements EngineListener {
    /**
     * Highest limit on concurrent loads from the checkpoint store. Further loads would share its
     * throughput, so that each would take longer.
     */
    private static final int MAX_STORE_LOADS = 4;

    /** Interval at which loads that no call waits for are planned. */
    private static final long PROACTIVE_INTERVAL_MILLIS = 150;

    /**
     * Time at the start of a term during which nothing is evicted, because the entries have not
     * reported their demand yet.
     */
    private static final long WARM_UP_MILLIS = 600;

    /** Delay before a scheduled round, so that one round handles all changes of a burst. */
    private static final long ROUND_DELAY_MILLIS = 2;

    private final EngineControl mEngines;
    private final Scheduler mControl;
    private final TermSource mTerms;
    private final LoadScheduler mLoads;
    private final BatchScheduler mBatches;
    private final ModelScheduler mScheduler;
    private final ProactiveScheduler mProactive;
    private final EngineLimits mLimits;
    private final ModelEvents mEvents;
    private final DemandTable mDemand = new DemandTable();
    private final StoreLoadLimit mStoreLoads = new StoreLoadLimit(MAX_STORE_LOADS);
    private final SteadyStoreLoadLimit mSteadyLoads = new SteadyStoreLoadLimit(MAX_STORE_LOADS);
    private final Map<ServerIncarnation, EngineDriver> mDrivers = new HashMap<>();
    private final PendingRequests mPending = new PendingRequests();
    private final Map<ServerIncarnation, Deadline> mNextRereadTimes = new HashMap<>();
    private Optional<RouteTable> mRoutes = Optional.empty();
    private long mHoldingsVersion;
    private long mNextProactiveMillis;
    private boolean mRoundScheduled;
    private long mLastRoundMillis;

    /**
     * Source of the term under which orders are sent. Called on the control thread, except {@link
     * #fencingNumber} and {@link #holder}, which are thread-safe.
     */
    public interface TermSource {
        /**
         * Returns the fencing number of the term, or empty while this process may not send orders.
         */
        Optional<Long> fencingNumber();

        /** Returns the instance id of this process, which each order carries as its holder. */
        String holder();

        /** Called when an engine has seen the fencing number of a later term. */
        void onFenced();
    }

    /**
     * @param planner chooses where models are loaded
     * @param limits tells which engines take fewer calls than they have places for
     * @param deferral decides whose calls may wait for a later load
     */
    public ModelController(
            EngineControl engines,
            Scheduler control,
            TermSource terms,
            LoadPlanner planner,
            EngineLimits limits,
            DeferralPolicy deferral,
            ModelEvents events) {
        mEngines = engines;
        mControl = control;
        mTerms = terms;
        mLimits = limits;
        mEvents = events;
        mLoads = new LoadScheduler(planner, mDemand, mStoreLoads, mSteadyLoads, deferral);
        mBatches = new BatchScheduler(mLoads, deferral, events);
        mScheduler = new ModelScheduler(mLoads, mBatches);
        mProactive = new ProactiveScheduler(mLoads);
    }

    private long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /** Returns the demand that the entries report. */
    public DemandTable demand() {
        return mDemand;
    }

    /**
     * Returns a version number that increases whenever the models that the engines hold may have
     * changed.
     */
    public long holdingsVersion() {
        return mHoldingsVersion;
    }

    /**
     * Begins a term. Discards the known state of the engines, because another process may have sent
     * orders since that state was read.
     */
    public void beginTerm(DirectorySnapshot directory) {
        mLoads.history().clear();
        mScheduler.suspendEvictionUntil(Deadline.after(now(), WARM_UP_MILLIS));
        mDrivers.clear();
        applyDirectory(directory);
    }

    /**
     * Ends a term. Answers all pending requests with {@link ModelRequestOutcome.NotController},
     * because another process may be the controller now.
     */
    public void endTerm() {
        List<PendingRequests.Pending> pending = mPending.mostUrgentFirst();
        mDrivers.clear();
        pending.forEach(request -> complete(request, new ModelRequestOutcome.NotController()));
    }

    /** Applies a new route table. */
    public void applyRoutes(RouteTable routes) {
        mRoutes = Optional.of(routes);
    }

    /**
     * Applies a new snapshot of the directory. Creates a driver for each usable engine that has
     * none, and discards the drivers of the engines that are gone or draining.
     */
    public void applyDirectory(DirectorySnapshot directory) {
        mDrivers.keySet().removeIf(incarnation -> !directory.isUsable(incarnation));
        for (ServerRecord server : directory.all().values()) {
            Optional<EngineDefinition> definition = engineDefinition(server.service());
            if (!server.draining() && definition.isPresent()) {
                double hostMemoryMegabytes = definition.get().hostMemoryMegabytes();
                mDrivers.computeIfAbsent(
                                server.incarnation(),
                                incarnation ->
                                        new EngineDriver(
                                                server,
                                                hostMemoryMegabytes,
                                                mEngines,
                                                mControl,
                                                this))
                        .updateRecord(server);
            }
        }
        mHoldingsVersion++;
    }

    private Optional<EngineDefinition> engineDefinition(String service) {
        return mRoutes.flatMap(table -> table.service(service)).flatMap(ServiceDefinition::engine);
    }

    /**
     * Submits a request for a model. The callback is called at once if this process is not the
     * controller, and otherwise in the round that finds an outcome or at the end of the term.
     */
    public void submit(ModelRequest request, Consumer<ModelRequestOutcome> callback) {
        if (mTerms.fencingNumber().isEmpty()) {
            callback.accept(new ModelRequestOutcome.NotController());
            return;
        }
        mPending.add(request, callback);
        request.notHeldBy().ifPresent(this::rereadEngine);
        scheduleRound();
    }

    /**
     * Requires a new report from an engine that, according to an entry, does not hold the target or
     * does not reply. Until the report has arrived, no request is answered with that engine. Does
     * nothing if a report was required for this reason less than {@link
     * ModelScheduler#REREAD_INTERVAL_MILLIS} ago.
     */
    private void rereadEngine(ServerIncarnation incarnation) {
        EngineDriver driver = mDrivers.get(incarnation);
        if (driver != null
                && mNextRereadTimes.getOrDefault(incarnation, new Deadline(0)).isPast(now())) {
            mNextRereadTimes.put(
                    incarnation, Deadline.after(now(), ModelScheduler.REREAD_INTERVAL_MILLIS));
            driver.requireReport();
        }
    }

    /** Runs a scheduling round. */
    void runRound() {
        mRoundScheduled = false;
        if (mTerms.fencingNumber().isEmpty() || mRoutes.isEmpty()) {
            return;
        }
        long now = now();
        // Completes the orders whose assumed end has passed, before new loads are planned.
        advanceDrivers(now);
        Map<String, SchedulingRound> rounds = new HashMap<>();
        for (PendingRequests.Pending pending : mPending.mostUrgentFirst()) {
            ModelRequest request = pending.request();
            RoundGuard.answer(request, () -> findOrLoad(request, rounds, now))
                    .ifPresentOrElse(
                            outcome -> complete(pending, outcome),
                            () -> refuseTooLate(pending, rounds, now));
        }
        RoundGuard.run("loads from the store", () -> useStore(rounds, now));
        if (now >= mNextProactiveMillis) {
            mNextProactiveMillis = now + PROACTIVE_INTERVAL_MILLIS;
            RoundGuard.run("proactive loads", () -> planProactiveLoads(rounds, now));
        }
        // Sends the orders that this round has planned.
        advanceDrivers(now);
        mLastRoundMillis = now() - now;
    }

    /** Refuses those of merged requests whose deadline passes before their model is loaded. */
    private void refuseTooLate(
            PendingRequests.Pending pending, Map<String, SchedulingRound> rounds, long now) {
        ModelRequest request = pending.request();
        round(request.service(), rounds, now)
                .flatMap(round -> round.expectedReadyMillis(request.target().model()))
                .ifPresent(
                        ready ->
                                answer(
                                        pending.takeTooLate(ready),
                                        new ModelRequestOutcome.TooLate(ready - now)));
    }

    private static void answer(
            List<Consumer<ModelRequestOutcome>> callbacks, ModelRequestOutcome outcome) {
        callbacks.forEach(each -> RoundGuard.run("an answer", () -> each.accept(outcome)));
    }

    private void advanceDrivers(long now) {
        for (EngineDriver driver : List.copyOf(mDrivers.values())) {
            RoundGuard.run(driver.server().id(), () -> driver.advance(now));
        }
    }

    private Optional<ModelRequestOutcome> findOrLoad(
            ModelRequest request, Map<String, SchedulingRound> rounds, long now) {
        return round(request.service(), rounds, now)
                .map(round -> mScheduler.findOrLoad(request, round))
                .orElse(Optional.of(new ModelRequestOutcome.TooLate(0)));
    }

    private void useStore(Map<String, SchedulingRound> rounds, long now) {
        for (String service : mRoutes.get().configuration().services().keySet()) {
            round(service, rounds, now).ifPresent(mBatches::useStore);
        }
    }

    /** Plans loads that no call waits for. */
    private void planProactiveLoads(Map<String, SchedulingRound> rounds, long now) {
        for (String service : mRoutes.get().configuration().services().keySet()) {
            round(service, rounds, now)
                    .ifPresent(
                            round -> {
                                mLoads.updateHistory(round);
                                mProactive.addReplicas(round);
                                mProactive.fillFreeMemory(round);
                                mProactive.prefetchFromStore(round);
                            });
        }
    }

    /** Returns the round of a service, or empty if the service has no engines configured. */
    private Optional<SchedulingRound> round(
            String service, Map<String, SchedulingRound> rounds, long now) {
        if (!rounds.containsKey(service)) {
            Map<String, ModelRequest> requests = mPending.byModel();
            engineDefinition(service)
                    .map(d -> new SchedulingRound(drivers(service), d, requests, mLimits, now))
                    .ifPresent(round -> rounds.put(service, round));
        }
        return Optional.ofNullable(rounds.get(service));
    }

    private List<EngineDriver> drivers(String service) {
        return mDrivers.values().stream()
                .filter(driver -> driver.server().service().equals(service))
                .sorted(Comparator.comparing(driver -> driver.server().id()))
                .toList();
    }

    private void complete(PendingRequests.Pending pending, ModelRequestOutcome outcome) {
        mPending.remove(pending);
        answer(pending.callbacks(), outcome);
        mBatches.recordOutcome(pending.request(), outcome, now());
        mEvents.recordAnswer(
                pending.request(), pending.callbacks().size(), outcome, mHoldingsVersion);
    }

    /** Returns the number of active calls, over all entries, on each engine by its id. */
    public Map<String, Integer> activeCalls() {
        Map<String, Integer> activeCalls = new HashMap<>();
        for (EngineDriver driver : mDrivers.values()) {
            String id = driver.server().id();
            activeCalls.put(id, mDemand.activeCalls(id, now()));
        }
        return activeCalls;
    }

    /**
     * Returns the models and adapters that each engine holds, to be announced to the entries.
     * Engines whose state is not known are left out.
     */
    public Map<ServerIncarnation, Map<String, HeldAdapters>> holdings() {
        Map<ServerIncarnation, Map<String, HeldAdapters>> all = new HashMap<>();
        mDrivers.forEach(
                (incarnation, driver) -> {
                    if (driver.isStateKnown()) {
                        all.put(incarnation, driver.models());
                    }
                });
        return all;
    }

    @Override
    public Optional<EngineListener.Term> term() {
        return mTerms.fencingNumber()
                .map(number -> new EngineListener.Term(mTerms.holder(), number));
    }

    @Override
    public void onStateChanged(EngineDriver engine) {
        mHoldingsVersion++;
        scheduleRound();
    }

    /**
     * Schedules a round if none is scheduled; called a few times a second, and whenever something
     * has changed. Replies, reports and requests arrive in bursts, so one round handles all that
     * arrive within {@link #ROUND_DELAY_MILLIS}. If a round takes longer than that, the next one
     * waits as long as it took, so that planning leaves half of the control thread to other work.
     */
    public void scheduleRound() {
        if (!mRoundScheduled) {
            mRoundScheduled = true;
            long delayMillis = Math.max(ROUND_DELAY_MILLIS, mLastRoundMillis);
            mControl.scheduleDirect(this::runRound, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void onFenced() {
        mTerms.onFenced();
    }

    @Override
    public int runningStoreLoads() {
        return (int)
                mDrivers.values().stream()
                        .flatMap(driver -> driver.orderQueue().running().stream())
                        .filter(PlannedOrder::readsCheckpointStore)
                        .count();
    }

    @Override
    public void onStoreLoadEnded(
            long expectedMillis, long actualMillis, int loadsAtBegin, int mostLoads) {
        mStoreLoads.recordLoad(expectedMillis, actualMillis, loadsAtBegin);
        mSteadyLoads.recordLoad(expectedMillis, actualMillis, mostLoads);
        mEvents.recordStoreLoad(expectedMillis, actualMillis, mostLoads, mLoads.maxStoreLoads());
    }

    @Override
    public void onOrderReply(ServerRecord server, ServerOrder order, OrderReply reply) {
        mEvents.recordOrder(server, order, reply);
    }
}
