package org.cornelway.bench.soak;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.Member;
import org.cornelway.platform.SwapResult;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.DocumentRelay;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.PeerClient;
import org.cornelway.relay.RelayMessages;
import org.cornelway.relay.RelaySettings;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.KeyValueState;

/**
 * Tests that the document relay propagates configuration changes under faults.
 *
 * <p>Relay messages are lost, processes are replaced and frozen, and the key-value service goes
 * down right after it has accepted a change.
 *
 * <p>Checks that, {@link #PROPAGATION_LIMIT_MILLIS} after a change was accepted, every live process
 * that was frozen neither at the change nor at the check holds it. The strict invariants of the
 * document cache check that a revision never decreases.
 */
public final class RelayRun implements RandomRun {
    /** Maximum time from the acceptance of a configuration change until every process holds it. */
    public static final long PROPAGATION_LIMIT_MILLIS = 5_000;

    private static final int DEFAULT_PROCESS_COUNT = 60;

    /** Number of steps of a run per configuration change. */
    public static final int STEPS_PER_CHANGE = 20;

    private static final long WARM_UP_MILLIS = 5_000;

    private final int mProcessCount;

    /** Tests a fleet of the default size. */
    public RelayRun() {
        this(DEFAULT_PROCESS_COUNT);
    }

    /** Tests a fleet of a given size. */
    public RelayRun(int processes) {
        mProcessCount = processes;
    }

    @Override
    public String name() {
        return "relay";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        RunState state = new RunState(seed, mix, mProcessCount);
        state.run(steps / STEPS_PER_CHANGE);
        return state.mReport;
    }

    /** Measures the propagation of one change to all processes, without faults. */
    public PropagationResult measurePropagation(long seed) {
        RunState state = new RunState(seed, FaultMix.none(), mProcessCount);
        return state.measure();
    }

    /**
     * Measurements of the propagation of one change. Immutable.
     *
     * @param propagationMillis time until every process held the change
     * @param documentTransfers transfers of the document between processes
     * @param exchangesPerSecond revision exchanges of all processes while nothing changes
     * @param storeReads reads of the key-value service by all processes in a minute without changes
     * @param watchesStarted watches of the key-value service started since the fleet's start
     */
    public record PropagationResult(
            long propagationMillis,
            long documentTransfers,
            double exchangesPerSecond,
            long storeReads,
            long watchesStarted) {}

    /** State of one run; also simulates the network between the processes. */
    private static final class RunState implements PeerClient {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mStoreState = new KeyValueState(this::now);
        private final Map<String, SimulatedProcess> mProcessById = new TreeMap<>();
        private final MetricRegistry mMetrics = new MetricRegistry();
        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mFaults;
        private List<Member> mMembers = List.of();
        private int mNextId;
        private long mChangeRevision;

        RunState(long seed, FaultMix mix, int processes) {
            mRandom = new Random(seed);
            mMix = mix;
            mFaults = new StoreFaults(mRandom, mix, mReport);
            for (int i = 0; i < processes; i++) {
                startProcess();
            }
            publishMembers();
            mScheduler.advanceTimeBy(WARM_UP_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** A simulated process with its own document cache and relay. */
        private final class SimulatedProcess {
            private final String mId;
            private final MemberTable mMemberTable;
            private final DocumentCache mCache;
            private final DocumentRelay mRelay;
            private long mFrozenUntilMillis;

            SimulatedProcess(String id) {
                mId = id;
                mMemberTable = new MemberTable(id);
                mMemberTable.update(mMembers);
                mCache = new DocumentCache(Invariants.strict(), mMetrics);
                KeyValueStore store = new InMemoryKeyValueStore(mStoreState, mScheduler, mFaults);
                mRelay =
                        new DocumentRelay(
                                mCache,
                                mMemberTable,
                                RunState.this,
                                new org.cornelway.internal.platform.MeteredKeyValueStore(
                                        store, mMetrics),
                                mScheduler,
                                RelaySettings.defaults(),
                                mRandom,
                                mMetrics);
                mRelay.start().subscribe();
            }

            boolean isFrozen() {
                return now() < mFrozenUntilMillis;
            }

            Member member() {
                return new Member(mId, "entry", mId, "r", "z", false, "", "", 0);
            }
        }

        private SimulatedProcess startProcess() {
            SimulatedProcess process = new SimulatedProcess("p" + mNextId++);
            mProcessById.put(process.mId, process);
            return process;
        }

        private void publishMembers() {
            mMembers = mProcessById.values().stream().map(SimulatedProcess::member).toList();
            mProcessById.values().forEach(process -> process.mMemberTable.update(mMembers));
        }

        void run(int changes) {
            for (int i = 0; i < changes; i++) {
                mReport.countOperation();
                injectFaults();
                changeAndCheck();
            }
        }

        private void injectFaults() {
            if (mMix.agentKillProbability() == 0) {
                return;
            }
            mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
            SimulatedProcess stopped = randomProcess();
            stopped.mRelay.stop().subscribe();
            mProcessById.remove(stopped.mId);
            startProcess();
            publishMembers();
            mReport.countFault(RunReport.FaultKind.AGENT_FROZEN);
            randomProcess().mFrozenUntilMillis = now() + mRandom.nextInt(8_000);
        }

        private SimulatedProcess randomProcess() {
            List<SimulatedProcess> processes = new ArrayList<>(mProcessById.values());
            return processes.get(mRandom.nextInt(processes.size()));
        }

        private void changeAndCheck() {
            SimulatedProcess acceptor = randomProcess();
            acceptor.mFrozenUntilMillis = 0;
            Set<SimulatedProcess> notFrozenAtChange = new HashSet<>(mProcessById.values());
            notFrozenAtChange.removeIf(SimulatedProcess::isFrozen);
            changeConfiguration(acceptor);
            mFaults.setOutage(mMix.callLossProbability() > 0);
            mScheduler.advanceTimeBy(PROPAGATION_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            long lagging =
                    notFrozenAtChange.stream()
                            .filter(p -> !p.isFrozen())
                            .filter(
                                    p ->
                                            p.mCache.revision(DocumentKeys.CONFIGURATION)
                                                    < mChangeRevision)
                            .count();
            mReport.check(
                    lagging == 0,
                    now() + ": " + lagging + " processes do not hold the change after 5 s");
            mFaults.setOutage(false);
            mScheduler.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);
        }

        /** Writes a change to the store and puts it into the cache of the accepting process. */
        private void changeConfiguration(SimulatedProcess acceptor) {
            byte[] value = ("change at " + now()).getBytes(StandardCharsets.UTF_8);
            long revision =
                    mStoreState.get(DocumentKeys.CONFIGURATION).map(KeyValue::revision).orElse(0L);
            SwapResult result =
                    mStoreState.compareAndSwap(DocumentKeys.CONFIGURATION, revision, value, 0);
            mChangeRevision = ((SwapResult.Swapped) result).revision();
            acceptor.mCache.offerVerified(
                    new KeyValue(DocumentKeys.CONFIGURATION, value, mChangeRevision));
        }

        PropagationResult measure() {
            long exchangesBefore = count("relay.exchanges");
            long storeReads = count("kv.reads");
            mScheduler.advanceTimeBy(60, TimeUnit.SECONDS);
            double exchangesPerSecond = (count("relay.exchanges") - exchangesBefore) / 60.0;
            storeReads = count("kv.reads") - storeReads;
            long transfersBefore = count("relay.documents");
            long start = now();
            changeConfiguration(randomProcess());
            while (mProcessById.values().stream()
                    .anyMatch(
                            p -> p.mCache.revision(DocumentKeys.CONFIGURATION) < mChangeRevision)) {
                mScheduler.advanceTimeBy(5, TimeUnit.MILLISECONDS);
            }
            long propagationMillis = now() - start;
            mScheduler.advanceTimeBy(PROPAGATION_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            return new PropagationResult(
                    propagationMillis,
                    count("relay.documents") - transfersBefore,
                    exchangesPerSecond,
                    storeReads,
                    count("kv.watches"));
        }

        private long count(String name) {
            return mMetrics.counter(name).getCount();
        }

        @Override
        public Single<RelayReply> relay(Member peer, RelayRequest request) {
            int delay = 1 + mRandom.nextInt(10);
            return Single.timer(delay, TimeUnit.MILLISECONDS, mScheduler)
                    .map(
                            tick ->
                                    handleUnlessLost(
                                            mProcessById.get(peer.id()),
                                            mProcessById.get(request.getFrom()),
                                            request))
                    .delay(delay, TimeUnit.MILLISECONDS, mScheduler);
        }

        /**
         * Returns the reply of a peer.
         *
         * @throws IOException if the message is lost or one of the processes is gone or frozen
         */
        private RelayReply handleUnlessLost(
                SimulatedProcess peer, SimulatedProcess from, RelayRequest request)
                throws IOException {
            boolean lost = mRandom.nextDouble() < mMix.connectionFaultProbability();
            if (peer == null || from == null || peer.isFrozen() || from.isFrozen() || lost) {
                throw new IOException("the peer did not answer");
            }
            return new RelayMessages(peer.mId, peer.mCache).handleRequest(request);
        }

        @Override
        public Single<DescribeReply> describe(Member peer) {
            return Single.error(new IOException("describe is not simulated"));
        }

        private long now() {
            return mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }
}
