package org.cornelway.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;
import org.cornelway.rpc.Final;
import org.cornelway.rpc.Frame;
import org.testng.annotations.Test;

/** Tests requests whose agent is silent for some seconds and then goes on. */
public class SilentAgentTest extends ExchangeTestBase {
    /** Longer than the silence after which an agent is left for another one. */
    private static final long SILENCE_MILLIS = 10_000;

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
