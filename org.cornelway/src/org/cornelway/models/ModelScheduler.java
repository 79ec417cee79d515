package org.cornelway.models;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.route.ModelDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;

/**
 * Finds engines for model requests, and plans the loads that calls wait for. Confined to the
 * control thread.
 */
final class ModelScheduler {
    /** Minimum interval between rereads of an engine's report that entries found to be wrong. */
    static final long REREAD_INTERVAL_MILLIS = 400;

    /** Another engine loads a model that is loading only if its load ends this much sooner. */
    private static final long MIN_MOVE_GAIN_MILLIS = 250;

    private final LoadScheduler mLoads;
    private final BatchScheduler mBatches;
    private final DemandTable mDemand;
    private final AdapterScheduler mAdapterScheduler;

    ModelScheduler(LoadScheduler loads, BatchScheduler batches) {
        mBatches = batches;
        mLoads = loads;
        mDemand = loads.demand();
        mAdapterScheduler = new AdapterScheduler(loads.demand());
    }

    /** Until a deadline, plans no load that evicts a model or an adapter. */
    void suspendEvictionUntil(Deadline deadline) {
        mLoads.suspendEvictionUntil(deadline);
        mAdapterScheduler.suspendEvictionUntil(deadline);
    }

    /**
     * Returns the outcome of a request, or empty while the request is pending. Plans a load if no
     * engine holds the target, or if those that do are limited and take no more calls now.
     */
    Optional<ModelRequestOutcome> findOrLoad(ModelRequest request, SchedulingRound round) {
        ModelTarget target = request.target();
        ModelDefinition model = round.definition().models().get(target.model());
        if (model == null) {
            return Optional.of(new ModelRequestOutcome.TooLate(0));
        }
        List<EngineDriver> holders =
                round.holders(target.model()).stream()
                        .filter(EngineDriver::isStateCurrent)
                        .filter(e -> !e.isUnloading(target.model()))
                        .toList();
        List<EngineDriver> unlimited = holders.stream().filter(e -> !round.isLimited(e)).toList();
        if (unlimited.isEmpty()) {
            // The entry that has the call gets a permit with the reply to its next report.
            return holders.stream().anyMatch(round::hasPermit)
                    ? Optional.empty()
                    : planLoad(request, model, holders, round);
        }
        return answerWithHolder(target, model, unlimited, round);
    }

    private Optional<ModelRequestOutcome> answerWithHolder(
            ModelTarget target,
            ModelDefinition model,
            List<EngineDriver> holders,
            SchedulingRound round) {
        long now = round.nowMillis();
        return target.hasAdapter()
                ? mAdapterScheduler
                        .findOrLoad(target, model, holders, round)
                        .map(engine -> answerWith(engine, target, now))
                : Optional.of(answerWith(leastBusy(holders, now), target, now));
    }

    private EngineDriver leastBusy(List<EngineDriver> engines, long nowMillis) {
        return engines.stream()
                .min(
                        Comparator.comparingInt(
                                engine -> mDemand.activeCalls(engine.server().id(), nowMillis)))
                .orElseThrow();
    }

    private ModelRequestOutcome answerWith(
            EngineDriver engine, ModelTarget target, long nowMillis) {
        mLoads.recordAnswer(engine, target, nowMillis);
        return new ModelRequestOutcome.Held(engine.server().incarnation());
    }

    /**
     * Finds or plans a load. A plan that cannot begin now is considered only after the first report
     * of each engine, since an engine that has not reported yet may hold the model. If there is no
     * plan, the request is answered with a limited engine that holds the model, so that its callers
     * are told when to come back.
     *
     * @param limited limited engines that hold the model
     */
    private Optional<ModelRequestOutcome> planLoad(
            ModelRequest request,
            ModelDefinition model,
            List<EngineDriver> limited,
            SchedulingRound round) {
        long now = round.nowMillis();
        Optional<EngineDriver> loading =
                round.loaders(model.name()).stream()
                        .min(Comparator.comparingLong(engine -> engine.readyMillis(now)));
        if (loading.isPresent()) {
            long readyMillis = loading.get().readyMillis(now);
            Optional<LoadPlan> soonerPlan = planSoonerLoad(request, model, loading.get(), round);
            if (soonerPlan.isEmpty()) {
                return tooLateOrPending(request, readyMillis, now);
            }
            if (loading.get().orderQueue().isLoadQueued(model.name())) {
                round.cancelQueuedLoad(loading.get(), model.name());
            }
            mLoads.enqueue(soonerPlan.get(), model, round);
            return tooLateOrPending(request, now + soonerPlan.get().totalMillis(), now);
        }
        if (limited.isEmpty() && mBatches.isDeferrable(request)) {
            return mBatches.findOrLoad(request, model, round);
        }
        Optional<LoadPlan> plan = planFor(request, model, round);
        if (plan.isEmpty() && !limited.isEmpty()) {
            return Optional.of(answerWith(leastBusy(limited, now), request.target(), now));
        }
        if (plan.isEmpty()) {
            return mustWaitForStore(model, round)
                    ? tooLateOrPending(request, round.nextStoreLoadEndMillis(model), now)
                    : Optional.empty();
        }
        if (plan.get().waitMillis() == 0 && plan.get().isWorthwhile()) {
            mLoads.enqueue(plan.get(), model, round);
        }
        return tooLateOrPending(request, now + plan.get().totalMillis(), now);
    }

    /** Whether a model can only be loaded from the checkpoint store, which has no capacity now. */
    private boolean mustWaitForStore(ModelDefinition model, SchedulingRound round) {
        return !round.awaitsFirstReport()
                && round.enginesWithCopy(model.name()) == 0
                && round.storeReads() >= round.maxStoreLoadsForRequests(mLoads);
    }

    private Optional<LoadPlan> planFor(
            ModelRequest request, ModelDefinition model, SchedulingRound round) {
        return mLoads.plan(model, Optional.of(request), round.engines(), round)
                .filter(p -> p.waitMillis() == 0 || !round.awaitsFirstReport());
    }

    /**
     * Returns a plan that can begin now and ends sooner than a load in progress, which may read the
     * checkpoint store while another engine has a cached copy.
     */
    private Optional<LoadPlan> planSoonerLoad(
            ModelRequest request,
            ModelDefinition model,
            EngineDriver loading,
            SchedulingRound round) {
        long now = round.nowMillis();
        if (loading.readyMillis(now) - now <= MIN_MOVE_GAIN_MILLIS) {
            return Optional.empty();
        }
        long latestMillis = loading.readyMillis(now) - MIN_MOVE_GAIN_MILLIS;
        return planFor(request, model, round)
                .filter(p -> p.waitMillis() == 0 && p.isWorthwhile())
                .filter(p -> now + p.totalMillis() < latestMillis);
    }

    /** Refuses a request whose model is ready only after its deadline. */
    static Optional<ModelRequestOutcome> tooLateOrPending(
            ModelRequest request, long readyMillis, long nowMillis) {
        return request.deadline().isPast(readyMillis)
                ? Optional.of(new ModelRequestOutcome.TooLate(readyMillis - nowMillis))
                : Optional.empty();
    }
}
