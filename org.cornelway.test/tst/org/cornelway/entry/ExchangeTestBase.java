package org.cornelway.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.exchange.Outcome;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.Member;
import org.cornelway.routing.AgentChooser;
import org.cornelway.routing.AgentLoadTable;
import org.cornelway.routing.RoutingTarget;
import org.cornelway.routing.RoutingView;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.rpc.Chunk;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.WithdrawReply;
import org.cornelway.time.Deadline;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base class of tests of one exchange of an entry with recorded agents in virtual time. */
abstract class ExchangeTestBase {
    private static final long DEADLINE_MILLIS = 30_000;

    static final Member FIRST = agent("a1");
    static final Member SECOND = agent("a2");

    TestScheduler mScheduler;
    RecordedGateway mGateway;
    RecordedSink mSink;
    private Invariants mInvariants;

    /** Stands for any fault of this process. */
    private static final class Fault extends RuntimeException {}

    /** A call of the entry to an agent. */
    record Call(Member agent, ExchangeRequest request, FrameListener listener) {}

    /** Records the calls; the test sends their frames. */
    static final class RecordedGateway implements AgentGateway {
        boolean mIsFaulty;
        final List<Call> mCalls = new ArrayList<>();
        final List<String> mWithdrawn = new ArrayList<>();

        @Override
        public Disposable exchange(
                Member agent, ExchangeRequest request, FrameListener listener, boolean reconnect) {
            if (mIsFaulty) {
                throw new Fault();
            }
            mCalls.add(new Call(agent, request, listener));
            return Disposable.empty();
        }

        @Override
        public Single<WithdrawReply> withdraw(Member agent, String id, long deadlineMillis) {
            mWithdrawn.add(id);
            return Single.never();
        }

        Call lastCall() {
            return mCalls.get(mCalls.size() - 1);
        }
    }

    /** Records the answer; its chunks can be discarded. */
    static final class RecordedSink implements CallerSink {
        int mChunks;

        /** Number of the chunk that is not taken; 0 for none. */
        int mFaultyChunk;

        Optional<Outcome> mOutcome = Optional.empty();

        @Override
        public void onChunk(byte[] data) {
            mChunks++;
            if (mChunks == mFaultyChunk) {
                throw new Fault();
            }
        }

        @Override
        public boolean canReset() {
            return true;
        }

        @Override
        public void reset() {
            mChunks = 0;
        }

        @Override
        public void onEnd(Outcome outcome) {
            mOutcome = Optional.of(outcome);
        }
    }

    /** Ignores all reports. */
    private static final class NoRevisions implements DocumentRevisions {
        @Override
        public long configurationRevision() {
            return 0;
        }

        @Override
        public long placementRevision() {
            return 0;
        }

        @Override
        public void onAgentLoad(Member agent, AgentLoad load) {}
    }

    private static Member agent(String id) {
        return new Member(id, Member.ROLE_AGENT, id, "r", "z", false, Member.KIND_MODEL, "", 0);
    }

    @BeforeMethod
    public final void createFakes() {
        mScheduler = new TestScheduler();
        mGateway = new RecordedGateway();
        mSink = new RecordedSink();
        mInvariants = Invariants.strict();
    }

    @AfterMethod
    public final void assertInvariants() {
        assertThat(mInvariants.violations()).isZero();
    }

    /** Starts a request that may be repeated; its first agent sends one chunk. */
    void startRequest(RetryBudget budget, Member... agents) {
        AgentChooser chooser =
                (target, view, loads, excluded) ->
                        List.of(agents).stream()
                                .filter(each -> !excluded.contains(each.id()))
                                .findFirst();
        EntryContext context =
                new EntryContext(
                        mGateway,
                        chooser,
                        new AgentLoadTable(() -> mScheduler.now(TimeUnit.MILLISECONDS)),
                        RoutingView::empty,
                        new NoRevisions(),
                        budget,
                        mScheduler,
                        bound -> 0,
                        mInvariants,
                        new MetricRegistry());
        EntryRequest request =
                new EntryRequest(
                        "r",
                        RoutingTarget.ofModel("m"),
                        "",
                        new Deadline(DEADLINE_MILLIS),
                        true,
                        false,
                        ExchangeRequest.getDefaultInstance());
        new EntryExchange(request, mSink, context, () -> {}).start();
        runTasks();
        if (!mGateway.mIsFaulty) {
            sendChunk(0);
        }
    }

    /** Runs the tasks that are due; drops a fault of one, as the schedulers of a process do. */
    private void runTasks() {
        try {
            mScheduler.triggerActions();
        } catch (Fault e) {
            runTasks();
        }
    }

    void send(Frame.Builder frame) {
        Call call = mGateway.lastCall();
        call.listener().onFrame(frame.setRequestId(call.request().getRequestId()).build());
        runTasks();
    }

    void sendChunk(long sequence) {
        Chunk.Builder chunk =
                Chunk.newBuilder().setSequence(sequence).setData(ByteString.copyFromUtf8("x"));
        send(Frame.newBuilder().setChunk(chunk));
    }
}
