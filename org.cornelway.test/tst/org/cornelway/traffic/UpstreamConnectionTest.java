package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import org.testng.annotations.Test;

/** Tests which responses of a faulty server, on a real connection, are taken for a call's. */
public class UpstreamConnectionTest extends UpstreamTestBase {
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
        assertThat(send("a", HttpMethod.POST, true).join()).isEqualTo("200 first");
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
}
