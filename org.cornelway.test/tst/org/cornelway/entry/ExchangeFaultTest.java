package org.cornelway.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;
import org.cornelway.rpc.Final;
import org.cornelway.rpc.Frame;
import org.testng.annotations.Test;

/** Tests that an unexpected error in the handling of a request ends it with a true outcome. */
public class ExchangeFaultTest extends ExchangeTestBase {
    /** Guards against an answer that looks complete although a part of it was not passed on. */
    @Test
    public void answerWithoutOneOfItsPartsIsNotComplete() {
        mSink.mFaultyChunk = 2;
        startRequest(new RetryBudget(0, 0), FIRST);
        sendChunk(1);
        sendChunk(2);
        Final.Builder last =
                Final.newBuilder().setChunkCount(3).setResultCode(ResultCode.OK.number());
        send(Frame.newBuilder().setFinal(last));
        assertThat(mSink.mOutcome.map(Outcome::code)).contains(ResultCode.ANSWER_INCOMPLETE);
        assertThat(mGateway.mWithdrawn).containsExactly("r-1");
    }

    /** Guards against a caller that waits for its deadline after an error at the first send. */
    @Test
    public void requestThatCannotBeSentEndsAtOnce() {
        mGateway.mIsFaulty = true;
        startRequest(new RetryBudget(0, 0), FIRST);
        assertThat(mSink.mOutcome.map(Outcome::code)).contains(ResultCode.OUTCOME_UNKNOWN);
    }
}
