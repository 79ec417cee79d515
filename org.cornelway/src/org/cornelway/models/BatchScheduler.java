package org.cornelway.models;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.route.ModelDefinition;

/**
 * Plans the loads of models whose calls may wait for each other.
 *
 * <p>Invariants: a model of which an engine has a copy is not loaded from the checkpoint store for
 * such calls; a request that was let wait for the store is overtaken by no other model. Confined to
 * the control thread.
 */
final class BatchScheduler {
    /** Time beside the load itself that a load from the store takes: orders and calls' ends. */
    private static final long STORE_TURN_EXTRA_MILLIS = 700;

    /** Priority in the store's order of a model that no call waits for. */
    private static final int NO_CALL_PRIORITY = Integer.MAX_VALUE;

    private final LoadScheduler mLoads;
    private final DeferralPolicy mPolicy;
    private final ModelEvents mEvents;

    /** Models with calls that were let wait for the store, in the order of their admission. */
    private final Set<String> mAdmitted = new LinkedHashSet<>();

    private final Map<String, WeightSource> mSources = new HashMap<>();

    BatchScheduler(LoadScheduler loads, DeferralPolicy policy, ModelEvents events) {
        mLoads = loads;
        mPolicy = policy;
        mEvents = events;
    }

    /** Whether the calls of a request may wait for a later load. */
    boolean isDeferrable(ModelRequest request) {
        return mPolicy.isDeferrable(request.calls().objectiveMillis())
                && isDeferrable(request.target().model(), true);
    }

    private boolean isDeferrable(String model, boolean ifUnknown) {
        long objectiveMillis = mLoads.history().objectiveMillis(model);
        return objectiveMillis == Long.MAX_VALUE
                ? ifUnknown
                : mPolicy.isDeferrable(objectiveMillis);
    }

    /** Returns the order of the loads from the store, computed at its first use in a round. */
    StoreTurns turns(SchedulingRound round) {
        return round.storeTurns(() -> newTurns(round));
    }

    private StoreTurns newTurns(SchedulingRound round) {
        long now = round.nowMillis();
        List<StoreTurns.Candidate> candidates = new ArrayList<>();
        Set<String> waitingForStore = new HashSet<>();
        for (ModelDefinition model : round.definition().models().values()) {
            String name = model.name();
            Optional<ModelRequest> request = round.request(name);
            double rate = mLoads.history().callsPerSecond(name);
            boolean isCandidate =
                    (request.isPresent() ? isDeferrable(request.get()) : rate > 0)
                            && isDeferrable(name, request.isPresent())
                            && !round.isAvailable(name);
            if (isCandidate) {
                waitingForStore.add(name);
                candidates.add(
                        new StoreTurns.Candidate(
                                name,
                                rate,
                                request.map(r -> r.calls().count()).orElse(0),
                                request.map(ModelRequest::priority).orElse(NO_CALL_PRIORITY),
                                model.storeLoadMillis() + STORE_TURN_EXTRA_MILLIS));
            }
        }
        mAdmitted.removeIf(
                name -> !waitingForStore.contains(name) || round.request(name).isEmpty());
        List<Long> ends =
                round.engines().stream()
                        .filter(engine -> engine.orderQueue().readsStore())
                        .map(engine -> engine.readyMillis(now))
                        .toList();
        return new StoreTurns(
                candidates, List.copyOf(mAdmitted), ends, mLoads.maxStoreLoads(), now);
    }

    /**
     * Returns the outcome of a request whose calls may wait, or empty while it is pending. Plans a
     * load from a copy once its latest useful start has come.
     */
    Optional<ModelRequestOutcome> findOrLoad(
            ModelRequest request, ModelDefinition model, SchedulingRound round) {
        if (!round.isAvailable(model.name()) && turns(round).contains(model.name())) {
            return waitForStore(request, round);
        }
        long now = round.nowMillis();
        Optional<LoadPlan> plan = mLoads.planFromCopy(model, request, round);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        LoadPlan chosen = plan.get();
        long latestStart =
                BatchTiming.latestStartMillis(
                        request.calls().objective().epochMillis(),
                        chosen.totalMillis(),
                        round.addBacklog(chosen.engine(), chosen.loadMillis()));
        if (chosen.waitMillis() == 0 && BatchTiming.isDue(chosen, latestStart, now)) {
            enqueue(chosen, model, round);
        }
        round.expectReady(model.name(), now + chosen.totalMillis());
        return ModelScheduler.tooLateOrPending(request, now + chosen.totalMillis(), now);
    }

    private Optional<ModelRequestOutcome> waitForStore(
            ModelRequest request, SchedulingRound round) {
        long now = round.nowMillis();
        String name = request.target().model();
        if (round.awaitsFirstReport()) {
            // An engine that has not reported yet may have a copy.
            return Optional.empty();
        }
        long endMillis = turns(round).endMillis(name);
        if (!request.deadline().isPast(endMillis)) {
            mAdmitted.add(name);
            round.expectReady(name, endMillis);
            return Optional.empty();
        }
        mEvents.recordStoreRefusal(request, endMillis - now);
        return Optional.of(new ModelRequestOutcome.TooLate(endMillis - now));
    }

    /** Begins loads from the store as far as it has capacity, in the order of their turns. */
    void useStore(SchedulingRound round) {
        if (round.awaitsFirstReport() || round.storeReads() >= mLoads.maxStoreLoads()) {
            return;
        }
        List<String> order = turns(round).order();
        if (order.isEmpty()) {
            addSpareCopy(round);
        }
        for (String name : order) {
            if (round.storeReads() >= mLoads.maxStoreLoads()) {
                return;
            }
            ModelDefinition model = round.definition().models().get(name);
            mLoads.planFromStore(model, round).ifPresent(plan -> enqueue(plan, model, round));
        }
    }

    /**
     * Loads the model with the most calls of those with a copy on one engine only, so that another
     * engine can load it too. Nothing else needs the store now.
     */
    private void addSpareCopy(SchedulingRound round) {
        if (!mLoads.hasDeferrable()) {
            return;
        }
        round.definition().models().values().stream()
                .filter(model -> round.enginesWithCopy(model.name()) == 1)
                .filter(model -> round.loaders(model.name()).isEmpty())
                .filter(model -> mLoads.history().callsPerSecond(model.name()) > 0)
                .max(
                        Comparator.comparingDouble(
                                model -> mLoads.history().callsPerSecond(model.name())))
                .ifPresent(
                        model ->
                                mLoads.planFromStore(model, round)
                                        .ifPresent(plan -> enqueue(plan, model, round)));
    }

    private void enqueue(LoadPlan plan, ModelDefinition model, SchedulingRound round) {
        mSources.put(model.name(), plan.source());
        mLoads.enqueue(plan, model, round);
    }

    /** Records the outcome of a request if its calls were collected. */
    void recordOutcome(ModelRequest request, ModelRequestOutcome outcome, long nowMillis) {
        String model = request.target().model();
        Optional<WeightSource> source = Optional.ofNullable(mSources.get(model));
        if (outcome instanceof ModelRequestOutcome.Held) {
            mSources.remove(model);
        }
        if (source.isPresent() && isDeferrable(request)) {
            mEvents.recordBatch(
                    request,
                    source.get().name(),
                    outcome.getClass().getSimpleName(),
                    nowMillis - request.firstArrivalMillis());
        }
    }
}
