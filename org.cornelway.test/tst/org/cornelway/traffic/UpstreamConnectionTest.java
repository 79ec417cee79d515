package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests which responses of a faulty server, on a real connection, are taken for a call's. */
public class UpstreamConnectionTest extends UpstreamTestBase {
    private static final Consumer<UpstreamConnection> PAUSE =
            connection -> connection.setReadingPaused(true);

    /** Longer than the time for which an idle connection is reused by default. */
    private static final long LONG_RESPONSE_MILLIS = 60_000;

    /** Guards against a head of which the status is one answer's and the rest another's. */
    @Test
    public void failureBehindAnIncompleteCopyOfAnotherAnswerIsNotTakenForSuccess() {
        for (int length = 1; length < FIRST_ANSWER.indexOf(END_OF_HEAD) + 4; length++) {
            serve(new Script(FIRST_ANSWER, FIRST_ANSWER.substring(0, length) + FAILURE));
            assertThat(send("a", HttpMethod.POST).join()).isEqualTo("200 first");
            assertThat(send("b", HttpMethod.POST).join())
                    .as("after %d bytes of a copy", length)
                    .matches("(?s)500 failed|failed: .*");
        }
    }

    /** Guards against a connection that is put back into the pool and never read again. */
    @Test
    public void connectionWhoseReadingWasPausedAtTheEndOfResponseIsReadAgain() {
        serve(new Script(FIRST_ANSWER, FAILURE));
        assertThat(send("a", HttpMethod.POST, PAUSE).join()).isEqualTo("200 first");
        assertThat(send("b", HttpMethod.POST).join()).isEqualTo("500 failed");
    }

    /**
     * Guards against a copy of an answer without a body that takes the next answer for its body.
     */
    @Test
    public void copyOfTheAnswerToHeadDoesNotTakeTheNextAnswerForItsBody() {
        String head = FIRST_ANSWER.substring(0, FIRST_ANSWER.indexOf(END_OF_HEAD) + 4);
        serve(new Script(head, head + FAILURE));
        assertThat(send("a", HttpMethod.HEAD).join()).isEqualTo("200 ");
        serve(new Script(FAILURE, ""));
        assertThat(send("b", HttpMethod.POST).join()).isEqualTo("500 failed");
    }

    /** Guards against a keep-alive time that runs while the server still sends its response. */
    @Test
    public void connectionIsReusedAfterResponseThatTookLongerThanTheKeepAliveTime() {
        serve(new Script(FIRST_ANSWER, FAILURE));
        serve(new Script(FAILURE, ""));
        assertThat(sendLong("a", connection -> {})).isEqualTo("200 first");
        assertThat(send("b", HttpMethod.POST).join()).isEqualTo("500 failed");
        assertThat(onLoop(UpstreamPool::openedCount)).isEqualTo(1);
    }

    /**
     * Guards against a request on a connection of which the keep-alive time began while its
     * response waited to be read.
     */
    @Test
    public void connectionIsNotReusedAfterLongResponseOfWhichReadingWasPaused() {
        serve(new Script(FIRST_ANSWER, FAILURE));
        serve(new Script(FAILURE, ""));
        assertThat(sendLong("a", PAUSE)).isEqualTo("200 first");
        assertThat(send("b", HttpMethod.POST).join()).isEqualTo("500 failed");
        assertThat(onLoop(UpstreamPool::openedCount)).isEqualTo(2);
    }

    /** Sends a request of which the response ends long after its head. */
    private String sendLong(String id, Consumer<UpstreamConnection> onContent) {
        Consumer<UpstreamConnection> advance = connection -> advanceClock(LONG_RESPONSE_MILLIS);
        return send(id, HttpMethod.POST, advance.andThen(onContent)).join();
    }

    /** Guards against closed connections that the pool keeps for good. */
    @Test
    public void closedConnectionThatIsReleasedIsNotKept() {
        serve(new Script("", ""));
        UpstreamConnection connection = open();
        onLoop(
                pool -> {
                    connection.close();
                    return true;
                });
        onLoop(
                pool -> {
                    pool.release(connection);
                    pool.sweep(Set.of());
                    return true;
                });
        assertThat(onLoop(UpstreamPool::idleCount)).isZero();
    }
}
