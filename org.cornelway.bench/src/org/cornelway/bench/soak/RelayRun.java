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
 * Processes learn of configurations while messages are lost, processes restart and stand frozen,
 * and the key-value service goes down right after it accepted a change.
 *
 * <p>Checked: five seconds after a change was accepted every live process that was not frozen holds
 * it; a revision never falls.
 */
public final class RelayRun implements RandomRun {
    /** Time within which a configuration is in force everywhere. */
    public static final long PROPAGATION_LIMIT_MILLIS = 5_000;

    private static final int PROCESSES = 60;

    /** Steps of a run for each change of the configuration. */
    public static final int STEPS_PER_CHANGE = 20;

    private static final long WARM_UP_MILLIS = 5_000;

    private final int mProcesses;

    /** Runs a fleet of moderate size. */
    public RelayRun() {
        this(PROCESSES);
    }

    /** Runs a fleet of a size of choice. */
    public RelayRun(int processes) {
        mProcesses = processes;
    }

    @Override
    public String name() {
        return "relay";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        World world = new World(seed, mix, mProcesses);
        world.run(steps / STEPS_PER_CHANGE);
        return world.mReport;
    }

    /** Measures one change without faults: messages sent and the time until all hold it. */
    public PropagationResult measurePropagation(long seed) {
        World world = new World(seed, FaultMix.none(), mProcesses);
        return world.measure();
    }

    /**
     * How one change spread. Immutable.
     *
     * @param propagationMillis time until every process held it
     * @param documentTransfers transfers of the document
     * @param exchangesPerSecond exchanges of revisions by all processes
     * @param storeReads reads of the key-value service in a minute of rest
     * @param watchesStarted watches begun
     */
    public record PropagationResult(
            long propagationMillis,
            long documentTransfers,
            double exchangesPerSecond,
            long storeReads,
            long watchesStarted) {}

    /** The state of one run. */
    private static final class World implements PeerClient {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mEngine = new KeyValueState(this::now);
        private final Map<String, Process> mAll = new TreeMap<>();
        private final MetricRegistry mMetrics = new MetricRegistry();
        private final Random mRandom;
        private final FaultMix mMix;
        private final StoreFaults mFaults;
        private List<Member> mMembers = List.of();
        private int mNext;
        private long mChange;

        World(long seed, FaultMix mix, int processes) {
            mRandom = new Random(seed);
            mMix = mix;
            mFaults = new StoreFaults(mRandom, mix, mReport);
            for (int i = 0; i < processes; i++) {
                start();
            }
            listAll();
            mScheduler.advanceTimeBy(WARM_UP_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** One process. */
        private final class Process {
            private final String mId;
            private final MemberTable mTable;
            private final DocumentCache mCache;
            private final DocumentRelay mRelay;
            private long mFrozenUntilMillis;

            Process(String id) {
                mId = id;
                mTable = new MemberTable(id);
                mTable.update(mMembers);
                mCache = new DocumentCache(Invariants.strict(), mMetrics);
                KeyValueStore store = new InMemoryKeyValueStore(mEngine, mScheduler, mFaults);
                mRelay =
                        new DocumentRelay(
                                mCache,
                                mTable,
                                World.this,
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

        private Process start() {
            Process process = new Process("p" + mNext++);
            mAll.put(process.mId, process);
            return process;
        }

        private void listAll() {
            mMembers = mAll.values().stream().map(Process::member).toList();
            mAll.values().forEach(process -> process.mTable.update(mMembers));
        }

        void run(int changes) {
            for (int i = 0; i < changes; i++) {
                mReport.countOperation();
                disturb();
                changeAndCheck();
            }
        }

        private void disturb() {
            if (mMix.agentKilled() == 0) {
                return;
            }
            mReport.countFault(RunReport.FaultKind.AGENT_KILLED);
            Process gone = random();
            gone.mRelay.stop().subscribe();
            mAll.remove(gone.mId);
            start();
            listAll();
            mReport.countFault(RunReport.FaultKind.AGENT_FROZEN);
            random().mFrozenUntilMillis = now() + mRandom.nextInt(8_000);
        }

        private Process random() {
            List<Process> processes = new ArrayList<>(mAll.values());
            return processes.get(mRandom.nextInt(processes.size()));
        }

        private void changeAndCheck() {
            Process acceptor = random();
            acceptor.mFrozenUntilMillis = 0;
            Set<Process> expected = new HashSet<>(mAll.values());
            expected.removeIf(Process::isFrozen);
            change(acceptor);
            mFaults.setOutage(mMix.callLost() > 0);
            mScheduler.advanceTimeBy(PROPAGATION_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            long lagging =
                    expected.stream()
                            .filter(p -> !p.isFrozen())
                            .filter(p -> p.mCache.revision(DocumentKeys.CONFIGURATION) < mChange)
                            .count();
            mReport.check(lagging == 0, now() + ": " + lagging + " processes lag after 5 s");
            mFaults.setOutage(false);
            mScheduler.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);
        }

        private void change(Process acceptor) {
            byte[] value = ("change at " + now()).getBytes(StandardCharsets.UTF_8);
            long revision =
                    mEngine.get(DocumentKeys.CONFIGURATION).map(KeyValue::revision).orElse(0L);
            SwapResult result =
                    mEngine.compareAndSwap(DocumentKeys.CONFIGURATION, revision, value, 0);
            mChange = ((SwapResult.Swapped) result).revision();
            acceptor.mCache.offerVerified(new KeyValue(DocumentKeys.CONFIGURATION, value, mChange));
        }

        PropagationResult measure() {
            long exchanges = count("relay.exchanges");
            long reads = count("kv.reads");
            mScheduler.advanceTimeBy(60, TimeUnit.SECONDS);
            double perSecond = (count("relay.exchanges") - exchanges) / 60.0;
            reads = count("kv.reads") - reads;
            long pushes = count("relay.documents");
            long start = now();
            change(random());
            while (mAll.values().stream()
                    .anyMatch(p -> p.mCache.revision(DocumentKeys.CONFIGURATION) < mChange)) {
                mScheduler.advanceTimeBy(5, TimeUnit.MILLISECONDS);
            }
            long millis = now() - start;
            mScheduler.advanceTimeBy(PROPAGATION_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            return new PropagationResult(
                    millis,
                    count("relay.documents") - pushes,
                    perSecond,
                    reads,
                    count("kv.watches"));
        }

        private long count(String name) {
            return mMetrics.counter(name).getCount();
        }

        @Override
        public Single<RelayReply> relay(Member peer, RelayRequest request) {
            int delay = 1 + mRandom.nextInt(10);
            return Single.timer(delay, TimeUnit.MILLISECONDS, mScheduler)
                    .map(tick -> answer(mAll.get(peer.id()), mAll.get(request.getFrom()), request))
                    .delay(delay, TimeUnit.MILLISECONDS, mScheduler);
        }

        private RelayReply answer(Process peer, Process from, RelayRequest request)
                throws IOException {
            boolean lost = mRandom.nextDouble() < mMix.connection();
            if (peer == null || from == null || peer.isFrozen() || from.isFrozen() || lost) {
                throw new IOException("no answer");
            }
            return new RelayMessages(peer.mId, peer.mCache).answer(request);
        }

        @Override
        public Single<DescribeReply> describe(Member peer) {
            return Single.error(new IOException("not asked here"));
        }

        private long now() {
            return mScheduler.now(TimeUnit.MILLISECONDS);
        }
    }
}
