package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which events of a server's answer the caller gets, and when a stream can be resumed. */
public class StreamRelayTest {
    private RecordedResponse mResponse;
    private StreamRelay mRelay;
    private StreamRelay.Answer mAnswer;
    private int mForwards;

    @BeforeMethod
    public void createRelay() {
        mResponse = new RecordedResponse();
        mRelay = new StreamRelay(mResponse, Optional.empty());
        mForwards = 0;
        startAnswer();
    }

    /** Starts the answer of another server. */
    private void startAnswer() {
        mAnswer = mRelay.newAnswer(() -> mForwards++);
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece\n\n";
    }

    private static String events(int... ids) {
        StringBuilder text = new StringBuilder();
        for (int id : ids) {
            text.append(event(id));
        }
        return text.toString();
    }

    private void feed(String text) throws BrokenAnswerException {
        mAnswer.feed(
                HttpResponseStatus.OK,
                new DefaultHttpHeaders(),
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Guards against a complete stream without the events that follow a wrong id. */
    @Test
    public void eventsAfterWrongIdAreNotDropped() throws BrokenAnswerException {
        String sent = events(1, 2, 93, 4, 5);
        feed(sent);
        assertThat(mResponse.body()).isEqualTo(sent);
    }

    @Test
    public void streamIsNotResumedAfterWrongId() throws BrokenAnswerException {
        feed(events(1, 2, 93));
        assertThat(mRelay.canResume()).isFalse();
        feed(events(4, 5));
        assertThat(mRelay.canResume()).isFalse();
    }

    @Test
    public void streamIsNotResumedAfterAnEventWithoutId() throws BrokenAnswerException {
        feed(event(1) + "data: piece\n\n");
        assertThat(mRelay.canResume()).isFalse();
    }

    @Test
    public void idThatIsNoNumberIsNeverTheIdToResumeAfter() throws BrokenAnswerException {
        feed(event(1) + "id: 2\u0001\ndata: piece\n\n");
        assertThat(mRelay.lastEventId()).isEmpty();
    }

    @Test
    public void resumedAnswerSkipsEventsThatTheCallerHas() throws BrokenAnswerException {
        feed(events(1, 2, 3));
        assertThat(mRelay.lastEventId()).contains("3");
        startAnswer();
        feed(": keep-alive\n\n" + events(2, 3, 4, 5));
        assertThat(mResponse.body()).isEqualTo(events(1, 2, 3) + ": keep-alive\n\n" + events(4, 5));
    }

    /** Guards against an attempt that ends another one with events which the caller has already. */
    @Test
    public void skippedEventsAreNotReportedAsForwarded() throws BrokenAnswerException {
        feed(events(1, 2, 3));
        startAnswer();
        feed(events(2, 3));
        assertThat(mForwards).isEqualTo(3);
        feed(events(4));
        assertThat(mForwards).isEqualTo(4);
    }

    /** Guards against a hedge that makes the answer beside it unusable. */
    @Test
    public void earlierAnswerGoesOnBesideLaterOneThatHasForwardedNothing()
            throws BrokenAnswerException {
        feed(events(1, 2) + "id: 3\nda");
        StreamRelay.Answer earlier = mAnswer;
        startAnswer();
        feed(events(1, 2) + "id: 3\n");
        mAnswer = earlier;
        feed("ta: piece\n\n" + events(4));
        assertThat(mResponse.body()).isEqualTo(events(1, 2, 3, 4));
    }

    @Test
    public void resumedAnswerThatLeavesOutAnEventIsRejected() throws BrokenAnswerException {
        feed(events(1, 2, 3));
        startAnswer();
        assertThatThrownBy(() -> feed(events(5, 6))).isInstanceOf(BrokenAnswerException.class);
        assertThat(mResponse.body()).isEqualTo(events(1, 2, 3));
    }

    @Test
    public void partialEventOfAnEarlierServerIsDiscarded() throws BrokenAnswerException {
        feed(event(1) + "id: 2\nda");
        assertThat(mAnswer.reasonIfBroken(false)).contains("ended within an event");
        startAnswer();
        feed(events(2, 3));
        assertThat(mResponse.body()).isEqualTo(events(1, 2, 3));
    }

    /** Guards against a hedge that takes a stream over with a comment. */
    @Test
    public void commentIsDiscardedWhileAnotherAnswerMayGoOn() throws BrokenAnswerException {
        mAnswer = mRelay.newAnswer(() -> false, () -> mForwards++);
        feed(": keep-alive\n\n");
        assertThat(mForwards).isZero();
        assertThat(mRelay.isHeadSent()).isFalse();
        feed(events(1));
        assertThat(mResponse.body()).isEqualTo(events(1));
    }
}
