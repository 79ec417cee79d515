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
import org.cornelway.result.ResultCode;
import org.cornelway.routing.AgentChooser;
import org.cornelway.routing.AgentLoadTable;
import org.cornelway.routing.RoutingTarget;
import org.cornelway.routing.RoutingView;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.rpc.Chunk;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.Final;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.WithdrawReply;
import org.cornelway.time.Deadline;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests whose agent is silent for some seconds and then goes on. */
public class SilentAgentTest {
    private static final long DEADLINE_MILLIS = 30_000;

    /** Longer than the silence after which an agent is left for another one. */
    private static final long SILENCE_MILLIS = 10_000;

    private static final Member FIRST = agent("a1");
    private static final Member SECOND = agent("a2");

    private TestScheduler mScheduler;
    private RecordedGateway mGateway;
    private RecordedSink mSink;

    /** A call of the entry to an agent. */
    private record Call(Member agent, ExchangeRequest request, FrameListener listener) {}

    /** Records the calls; the test sends their frames. */
    private static final class RecordedGateway implements AgentGateway {
        private final List<Call> mCalls = new ArrayList<>();
        private final List<String> mWithdrawn = new ArrayList<>();

        @Override
        public Disposable exchange(
                Member agent, ExchangeRequest request, FrameListener listener, boolean reconnect) {
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
    private static final class RecordedSink implements CallerSink {
        private int mChunks;
        private Optional<Outcome> mOutcome = Optional.empty();

        @Override
        public void onChunk(byte[] data) {
            mChunks++;
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
    public void createFakes() {
        mScheduler = new TestScheduler();
        mGateway = new RecordedGateway();
        mSink = new RecordedSink();
    }

    /** Starts a request that may be repeated; its first agent sends one chunk. */
    private void startRequest(RetryBudget budget, Member... agents) {
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
                        Invariants.strict(),
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
        mScheduler.triggerActions();
        sendChunk(0);
    }

    private void send(Frame.Builder frame) {
        Call call = mGateway.lastCall();
        call.listener().onFrame(frame.setRequestId(call.request().getRequestId()).build());
        mScheduler.triggerActions();
    }

    private void sendChunk(long sequence) {
        Chunk.Builder chunk =
                Chunk.newBuilder().setSequence(sequence).setData(ByteString.copyFromUtf8("x"));
        send(Frame.newBuilder().setChunk(chunk));
    }

    private void assertFirstAgentCompletesTheAnswer() {
        mScheduler.advanceTimeBy(SILENCE_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(mSink.mOutcome).isEmpty();
        assertThat(mGateway.mWithdrawn).isEmpty();
        assertThat(mGateway.mCalls).extracting(Call::agent).containsOnly(FIRST);
        sendChunk(1);
        Final.Builder last =
                Final.newBuilder().setChunkCount(2).setResultCode(ResultCode.OK.number());
        send(Frame.newBuilder().setFinal(last));
        assertThat(mSink.mOutcome.map(Outcome::code)).contains(ResultCode.OK);
        assertThat(mSink.mChunks).isEqualTo(2);
    }

    /** Guards against an answer that is given up although no other agent may run its request. */
    @Test
    public void silenceDoesNotEndAnswerWithoutRetryBudget() {
        startRequest(new RetryBudget(0, 0), FIRST, SECOND);
        assertFirstAgentCompletesTheAnswer();
    }

    /** Guards against an answer that is given up although no other agent can run its request. */
    @Test
    public void silenceDoesNotEndAnswerWithoutAnotherAgent() {
        startRequest(new RetryBudget(0, 5), FIRST);
        assertFirstAgentCompletesTheAnswer();
    }

    @Test
    public void requestIsSubmittedToAnotherAgentAfterLongSilence() {
        startRequest(new RetryBudget(0, 1), FIRST, SECOND);
        mScheduler.advanceTimeBy(SILENCE_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(mGateway.lastCall().agent()).isEqualTo(SECOND);
        assertThat(mGateway.mWithdrawn).containsExactly("r-1");
    }
}
