package org.cornelway.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.CallNeeds;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.LeastLoadedChooser;
import org.cornelway.overload.PlayedLoad.Arrival;

/**
 * Plays a load in virtual time against entries that decide by a policy, and engines that admit the
 * calls by priority and then in order of arrival. A caller leaves when its patience ends; the
 * engine learns of this when it would begin the call.
 */
final class OverloadPlay {
    static final int ENGINES = 12;
    static final int SLOTS = 16;
    private static final int ENTRIES = 4;
    private static final long REPORT_MILLIS = 100;
    private static final long EXCHANGE_MILLIS = 250;
    private static final long WAITING_MILLIS = 20;
    private static final long PREFILL_MILLIS = 60;
    private static final double MILLIS_PER_TOKEN = 5;
    private static final double STREAM_MILLIS = 1_000;

    private final OverloadPolicy mPolicy;
    private final boolean mHasController;
    private final Random mRandom = new Random(5);
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final Set<Integer> mPriorities = new TreeSet<>();
    private final Map<PendingCall, Arrival> mArrivals = new HashMap<>();
    private final PlayOutcome mOutcome = new PlayOutcome();
    private long mSequence;

    /** A call in an engine. */
    private static final class Job {
        private final Arrival mArrival;
        private final Entry mEntry;
        private final Engine mEngine;
        private final SentCalls.SentCall mSent;
        private final int mPriority;
        private final long mNumber;
        private long mEndMillis;

        private Job(
                Arrival arrival,
                Entry entry,
                Engine engine,
                SentCalls.SentCall sent,
                int priority,
                long number) {
            mArrival = arrival;
            mEntry = entry;
            mEngine = engine;
            mSent = sent;
            mPriority = priority;
            mNumber = number;
        }
    }

    /** An engine with its queue. */
    private static final class Engine {
        private final ServerRecord mRecord;
        private final PriorityQueue<Job> mRunning =
                new PriorityQueue<>(Comparator.comparingLong(job -> job.mEndMillis));
        private final PriorityQueue<Job> mQueue =
                new PriorityQueue<>(
                        Comparator.comparingInt((Job job) -> job.mPriority)
                                .thenComparingLong(job -> job.mNumber));

        private Engine(int number) {
            mRecord =
                    new ServerRecord(
                            new ServerIncarnation("e" + number, 1),
                            "service",
                            "127.0.0.1",
                            1,
                            "z",
                            SLOTS,
                            false,
                            1,
                            Map.of(),
                            Set.of(),
                            Set.of());
        }
    }

    /** An entry with what it knows of the engines. */
    private static final class Entry {
        private final OverloadState mState = new OverloadState();
        private final Map<Engine, Integer> mInFlight = new HashMap<>();
        private final Map<Engine, Integer> mReported = new HashMap<>();
        private List<PendingCall> mWaiting = new ArrayList<>();
    }

    OverloadPlay(OverloadPolicy policy, boolean hasController) {
        mPolicy = policy;
        mHasController = hasController;
        for (int i = 0; i < ENGINES; i++) {
            mEngines.add(new Engine(i));
        }
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(new Entry());
        }
    }

    /** Plays a load until its last call has ended. */
    PlayOutcome play(PlayedLoad load, long seed) {
        load.kinds().forEach(kind -> mPriorities.add(kind.priority()));
        List<Arrival> arrivals = load.draw(seed);
        int next = 0;
        for (long now = 0; now < load.millis() + 40_000; now++) {
            report(now);
            for (Engine engine : mEngines) {
                step(engine, now);
            }
            if (now % WAITING_MILLIS == 0) {
                for (Entry entry : mEntries) {
                    dispatchWaiting(entry, now);
                }
            }
            while (next < arrivals.size() && arrivals.get(next).arrivedMillis() <= now) {
                arrive(arrivals.get(next++), now);
            }
        }
        return mOutcome;
    }

    private void report(long now) {
        if (now % REPORT_MILLIS == 0) {
            for (Entry entry : mEntries) {
                for (Engine each : mEngines) {
                    entry.mReported.put(each, each.mRunning.size() + each.mQueue.size());
                }
            }
        }
        if (mHasController && now % EXCHANGE_MILLIS == 0) {
            Map<String, CustomerUse> uses = new HashMap<>();
            for (Entry entry : mEntries) {
                entry.mState
                        .customerUses(now)
                        .forEach((name, use) -> uses.merge(name, use, CustomerUse::plus));
            }
            Map<String, Double> fractions = CustomerShares.fractions(uses);
            mEntries.forEach(entry -> entry.mState.setCustomerFractions(fractions, now));
        }
    }

    private void step(Engine engine, long now) {
        while (!engine.mRunning.isEmpty() && engine.mRunning.peek().mEndMillis <= now) {
            end(engine.mRunning.poll(), now);
        }
        while (engine.mRunning.size() < SLOTS && !engine.mQueue.isEmpty()) {
            Job job = engine.mQueue.poll();
            if (job.mArrival.call().end().isPast(now)) {
                mOutcome.recordAbandoned(job.mArrival);
                end(job, now);
                continue;
            }
            long tokens = job.mArrival.kind().outputTokens();
            job.mEndMillis = now + PREFILL_MILLIS + (long) (MILLIS_PER_TOKEN * tokens);
            engine.mRunning.add(job);
            job.mEntry.mState.recordBegun(job.mSent, now + PREFILL_MILLIS);
            mOutcome.recordBegun(job.mArrival, now + PREFILL_MILLIS);
        }
    }

    private static void end(Job job, long now) {
        job.mEntry.mInFlight.merge(job.mEngine, -1, Integer::sum);
        if (job.mEntry.mState.recordEnded(job.mSent, now)) {
            job.mEntry.mState.recordUnserved(job.mSent.call(), true, now);
        }
    }

    private void arrive(Arrival arrival, long now) {
        Entry entry = mEntries.get(mRandom.nextInt(ENTRIES));
        mOutcome.recordAsked(arrival);
        PendingCall call = arrival.call();
        PendingCall decided = entry.mState.recordArrival(call, now);
        mArrivals.put(decided, arrival);
        dispatch(decided, entry, now);
    }

    private void dispatch(PendingCall call, Entry entry, long now) {
        List<Candidate> candidates = mEngines.stream().map(each -> candidate(each, entry)).toList();
        ServiceState state =
                entry.mState.serviceState(
                        call,
                        candidates,
                        STREAM_MILLIS,
                        EnginePriority.lowest(call.priority(), mPriorities),
                        ENTRIES,
                        now);
        Arrival arrival = mArrivals.remove(call);
        Decision decision = mPolicy.decide(call, state, entry.mWaiting, now);
        if (decision instanceof Decision.Send send) {
            send(arrival, call, entry, candidates, send.enginePriority(), state.hasRoom(), now);
        } else if (decision instanceof Decision.Wait wait) {
            wait.givesWay()
                    .ifPresent(
                            other -> {
                                entry.mWaiting.remove(other);
                                refuse(mArrivals.remove(other), other, entry, now);
                            });
            PendingCall held = call.heldUntil(wait.until());
            mArrivals.put(held, arrival);
            entry.mWaiting.add(held);
        } else {
            refuse(arrival, call, entry, now);
        }
    }

    private void refuse(Arrival arrival, PendingCall call, Entry entry, long now) {
        entry.mState.recordRefused(call, now);
        mOutcome.recordRefused(arrival);
    }

    private static Candidate candidate(Engine engine, Entry entry) {
        return new Candidate(
                engine.mRecord,
                entry.mInFlight.getOrDefault(engine, 0),
                entry.mReported.getOrDefault(engine, 0),
                1,
                0,
                false,
                true);
    }

    private void send(
            Arrival arrival,
            PendingCall call,
            Entry entry,
            List<Candidate> candidates,
            int priority,
            boolean hadRoom,
            long now) {
        Candidate chosen = new LeastLoadedChooser().choose(candidates, needs(call)).orElseThrow();
        Engine engine =
                mEngines.stream()
                        .filter(each -> each.mRecord.equals(chosen.server()))
                        .findFirst()
                        .orElseThrow();
        // Like the real entry, it sees its own sends at once and those of others in reports.
        entry.mInFlight.merge(engine, 1, Integer::sum);
        entry.mReported.merge(engine, 1, Integer::sum);
        SentCalls.SentCall sent = entry.mState.recordSent(call, priority, hadRoom, now);
        engine.mQueue.add(new Job(arrival, entry, engine, sent, priority, mSequence++));
    }

    private static CallNeeds needs(PendingCall call) {
        return new CallNeeds(0, Set.of(), (long) call.tokens(), call.id().hashCode());
    }

    private void dispatchWaiting(Entry entry, long now) {
        List<PendingCall> waiting = entry.mWaiting;
        entry.mWaiting = new ArrayList<>();
        waiting.stream()
                .sorted(
                        CallLoss.refusedFirst(entry.mState.typicalTokens("service"), now)
                                .reversed())
                .collect(Collectors.toList())
                .forEach(call -> dispatch(call, entry, now));
    }
}
