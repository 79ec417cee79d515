package org.cornelway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import org.cornelway.directory.ServerRecord;
import org.cornelway.route.CallKind;
import org.cornelway.time.Clock;
import org.cornelway.traffic.ReportedLoad;

/** Entries that choose servers for the calls of a load, in virtual time. */
final class ModelledFleet {
    private static final long CONTROLLER_MILLIS = 250;
    private static final long CHECK_MILLIS = 50;
    private static final int MIN_REPORT_AGE_MILLIS = 100;
    private static final int REPORT_AGE_RANGE_MILLIS = 100;

    /** Shared beginnings of prompts of a model. */
    private static final int PROMPTS = 4;

    private static final double MEAN_WORK_MILLIS = 69;
    private static final long LONGEST_CALL_MILLIS = 12_000;

    private final ModelledLoad mLoad;
    private final ServerChooser mChooser;

    /** Draws the calls and when servers are slow, the same for every chooser. */
    private final Random mRandom;

    /** Draws what depends on the chooser. */
    private final Random mOther;

    private final boolean mHedging;
    private final List<ModelledServer> mServers = new ArrayList<>();
    private final List<List<Integer>> mHolders = new ArrayList<>();
    private final List<ModelledView> mViews = new ArrayList<>();
    private final List<SlidingWindowRetryBudget> mBudgets = new ArrayList<>();
    private final List<ModelledCall> mOpenReads = new ArrayList<>();
    private final List<Integer> mPlain = new ArrayList<>();
    private final Figures mFigures = new Figures();
    private Map<String, Integer> mCounts = Map.of();
    private long mNow;
    private long mMeasuredMillis;
    private int mCallCount;

    /** What is measured. */
    static final class Figures {
        final Map<String, Integer> mCalls = new HashMap<>();
        final Map<String, Integer> mInTime = new HashMap<>();
        int mPreemptions;
        int mRefusals;
        int mHedges;
        int mHedgesWon;
        double mBusiestEngines;
        double mBusiestPlain;
        int mSamples;

        double share(String... kinds) {
            int calls = 0;
            int inTime = 0;
            for (String kind : kinds) {
                calls += mCalls.getOrDefault(kind, 0);
                inTime += mInTime.getOrDefault(kind, 0);
            }
            return 100.0 * inTime / calls;
        }

        void add(Figures other) {
            other.mCalls.forEach((kind, count) -> mCalls.merge(kind, count, Integer::sum));
            other.mInTime.forEach((kind, count) -> mInTime.merge(kind, count, Integer::sum));
            mPreemptions += other.mPreemptions;
            mRefusals += other.mRefusals;
            mHedges += other.mHedges;
            mHedgesWon += other.mHedgesWon;
            mBusiestEngines += other.mBusiestEngines;
            mBusiestPlain += other.mBusiestPlain;
            mSamples += other.mSamples;
        }

        double busiestEngine() {
            return mBusiestEngines / mSamples;
        }

        double busiestPlain() {
            return mBusiestPlain / mSamples;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "plain %.2f (read %.2f) drafts %.2f checks %.2f in time; busiest/mean engines"
                            + " %.2f plain %.2f; preempted %d refused %d; hedges %d won %d",
                    share("release", "read"),
                    share("read"),
                    share("draft"),
                    share("check"),
                    busiestEngine(),
                    busiestPlain(),
                    mPreemptions,
                    mRefusals,
                    mHedges,
                    mHedgesWon);
        }
    }

    ModelledFleet(
            ModelledLoad load,
            ServerChooser chooser,
            BiFunction<Clock, Integer, ModelledView> newView,
            boolean hedging,
            long seed) {
        mLoad = load;
        mChooser = chooser;
        mHedging = hedging;
        mRandom = new Random(seed);
        mOther = new Random(seed);
        for (int i = 0; i < mLoad.fleet().plainServers(); i++) {
            mPlain.add(i);
            mServers.add(
                    new ModelledServer(
                            "p" + i, ModelledLoad.PLAIN_SLOTS, 0, ModelledLoad.SLOWNESS));
        }
        for (int i = 0; i < mLoad.fleet().engines(); i++) {
            mServers.add(
                    new ModelledServer(
                            "e" + i,
                            mLoad.fleet().slots(),
                            mLoad.fleet().tokens(),
                            ModelledLoad.SLOWNESS));
        }
        for (int model = 0; model < load.popularity().length; model++) {
            List<Integer> holders = new ArrayList<>();
            while (holders.size() < load.enginesPerModel()) {
                int engine =
                        mLoad.fleet().plainServers() + mRandom.nextInt(mLoad.fleet().engines());
                if (!holders.contains(engine)) {
                    holders.add(engine);
                }
            }
            mHolders.add(holders);
        }
        for (int i = 0; i < mLoad.entries(); i++) {
            mViews.add(newView.apply(() -> mNow, load.entries()));
            mBudgets.add(new SlidingWindowRetryBudget(() -> mNow, 10_000, 0.1, 40));
        }
    }

    /** Plays the load and measures the calls that arrive, but for those at the end. */
    Figures play(long millis) {
        mMeasuredMillis = millis - LONGEST_CALL_MILLIS;
        List<ModelledCall> ended = new ArrayList<>();
        for (mNow = 1; mNow <= millis; mNow++) {
            for (ModelledLoad.Kind kind : mLoad.kinds()) {
                if (mRandom.nextDouble() < kind.perSecond() / 1_000) {
                    send(newCall(kind));
                }
            }
            for (ModelledServer server : mServers) {
                server.step(mNow, mRandom, mLoad.slowShare(), ended);
            }
            ended.forEach(this::end);
            ended.clear();
            if (mNow % CONTROLLER_MILLIS == 0) {
                exchangeCounts();
            }
            if (mHedging && mNow % CHECK_MILLIS == 0) {
                List.copyOf(mOpenReads).forEach(this::hedgeIfDue);
            }
        }
        mServers.forEach(each -> mFigures.mPreemptions += each.mPreemptions);
        mServers.forEach(each -> mFigures.mRefusals += each.mRefusals);
        return mFigures;
    }

    /** Delivers the counts of the exchange before, and counts again. */
    private void exchangeCounts() {
        mViews.forEach(view -> view.counted(mCounts));
        Map<String, Integer> counts = new HashMap<>();
        int engines = 0;
        int plain = 0;
        int busiestEngine = 0;
        int busiestPlain = 0;
        for (ModelledServer server : mServers) {
            if (server.mTokenCapacity > 0) {
                counts.put(server.mRecord.id(), server.requests());
                engines += server.requests();
                busiestEngine = Math.max(busiestEngine, server.requests());
            } else {
                plain += server.requests();
                busiestPlain = Math.max(busiestPlain, server.requests());
            }
        }
        mCounts = counts;
        if (engines > 0 && plain > 0) {
            mFigures.mSamples++;
            mFigures.mBusiestEngines += (double) busiestEngine * mLoad.fleet().engines() / engines;
            mFigures.mBusiestPlain += (double) busiestPlain * mLoad.fleet().plainServers() / plain;
        }
    }

    private ModelledCall newCall(ModelledLoad.Kind kind) {
        // Prompts and work are between half and one and a half of the mean.
        double size = 0.5 + mRandom.nextDouble();
        return new ModelledCall(
                kind,
                mRandom.nextInt(mLoad.entries()),
                mNow,
                size * MEAN_WORK_MILLIS,
                (int) (size * kind.promptTokens()),
                (int) ((0.5 + mRandom.nextDouble()) * kind.outputTokens()));
    }

    private int randomModel() {
        double draw = mRandom.nextDouble();
        int model = 0;
        while (model < mLoad.popularity().length - 1 && draw >= mLoad.popularity()[model]) {
            draw -= mLoad.popularity()[model++];
        }
        return model;
    }

    private void send(ModelledCall call) {
        if (mNow <= mMeasuredMillis) {
            mFigures.mCalls.merge(call.mKind.name(), 1, Integer::sum);
        }
        int model = call.mKind.isStream() ? randomModel() : -1;
        call.mAffinity = model < 0 ? 0 : 1 + model * PROMPTS + mRandom.nextInt(PROMPTS);
        List<Integer> holders = model < 0 ? mPlain : mHolders.get(model);
        List<ServerRecord> records =
                holders.stream().map(each -> mServers.get(each).mRecord).toList();
        ModelledView view = mViews.get(call.mEntry);
        long capacity = model < 0 ? 0 : mLoad.fleet().tokens();
        Candidate chosen = choose(call, view.candidates(records, capacity));
        call.mServer = holders.get(records.indexOf(chosen.server()));
        if (call.mKind.isSafe()) {
            mBudgets.get(call.mEntry).recordCall("plain");
            mOpenReads.add(call);
        }
        start(call, model);
    }

    private Candidate choose(ModelledCall call, List<Candidate> candidates) {
        CallNeeds needs = new CallNeeds(call.mAffinity, Set.of(), call.tokensInAll(), mCallCount++);
        return mChooser.choose(candidates, needs).orElseThrow();
    }

    private void start(ModelledCall call, int model) {
        ModelledServer server = mServers.get(call.mServer);
        ModelledView view = mViews.get(call.mEntry);
        view.started(server.mRecord, call.tokensInAll());
        if (!server.accept(call)) {
            view.ended(server.mRecord, call.tokensInAll());
            return;
        }
        if (call.mKind.isStream()) {
            call.onEvent(gap -> onEvent(view, server, "m" + model, gap));
        }
    }

    private void onEvent(ModelledView view, ModelledServer server, String model, long gap) {
        if (gap < 0) {
            report(view, server);
        } else {
            view.event(server.mRecord, model, gap);
        }
    }

    private void report(ModelledView view, ModelledServer server) {
        int age = MIN_REPORT_AGE_MILLIS + mOther.nextInt(REPORT_AGE_RANGE_MILLIS);
        ReportedLoad load = server.loadAt(mNow - age);
        view.reported(server.mRecord, load);
    }

    private void end(ModelledCall call) {
        ModelledServer server = mServers.get(call.mServer);
        ModelledView view = mViews.get(call.mEntry);
        view.ended(server.mRecord, call.tokensInAll());
        if (!call.mKind.isStream()) {
            report(view, server);
            view.answered(server.mRecord, call.mKind.name(), mNow - call.mSentMillis);
        }
        if (call.mArrivedMillis <= mMeasuredMillis && call.isInTime()) {
            mFigures.mInTime.merge(call.mKind.name(), 1, Integer::sum);
        }
        if (call.mTwin != null) {
            mFigures.mHedgesWon += call.mIsHedge ? 1 : 0;
            cancel(call.mTwin);
        }
        mOpenReads.remove(call);
    }

    private void cancel(ModelledCall call) {
        ModelledServer server = mServers.get(call.mServer);
        server.cancel(call);
        mViews.get(call.mEntry).ended(server.mRecord, 0);
        mOpenReads.remove(call);
    }

    private void hedgeIfDue(ModelledCall call) {
        if (call.mTwin != null
                || !(mViews.get(call.mEntry) instanceof ModelledView.ServerLoadsView view)) {
            return;
        }
        ServerRecord server = mServers.get(call.mServer).mRecord;
        OptionalLong usual = view.mLoads.serviceTimes().percentile95(call.mKind.name());
        boolean slow = view.mLoads.slow().isSlow(server.incarnation());
        long silent = mNow - call.mArrivedMillis;
        long remaining = call.mKind.objectiveMillis() - silent;
        if (!HedgePolicy.isDueBeforeObjective(CallKind.SAFE, slow, silent, usual, remaining)) {
            return;
        }
        List<ServerRecord> records = new ArrayList<>();
        for (int i = 0; i < mLoad.fleet().plainServers(); i++) {
            records.add(mServers.get(i).mRecord);
        }
        CallNeeds needs = new CallNeeds(0, Set.of(server.id()), 0, mCallCount);
        List<Candidate> candidates =
                view.candidates(records, 0).stream()
                        .filter(each -> !each.server().equals(server))
                        .filter(each -> BalancedChooser.isFast(each, needs))
                        .toList();
        if (candidates.isEmpty()
                || !mBudgets.get(call.mEntry)
                        .tryAcquire("plain", mLoad.entries(), HedgePolicy.EARLY_BUDGET_SHARE)) {
            return;
        }
        mFigures.mHedges++;
        ModelledCall hedge = call.newHedge(mNow, (0.5 + mOther.nextDouble()) * MEAN_WORK_MILLIS);
        hedge.mServer = records.indexOf(choose(hedge, candidates).server());
        start(hedge, -1);
    }
}
