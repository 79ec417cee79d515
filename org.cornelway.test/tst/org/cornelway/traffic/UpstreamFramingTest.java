package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how responses on a real connection are delimited, and what is left of one for the next. */
public class UpstreamFramingTest extends UpstreamTestBase {
    private static String lines(String... lines) {
        return String.join("\r\n", lines) + "\r\n";
    }

    @DataProvider
    public Object[][] lineEnds() {
        int endOfHead = FIRST_ANSWER.indexOf(END_OF_HEAD) + 2;
        return IntStream.rangeClosed(1, endOfHead)
                .filter(end -> FIRST_ANSWER.charAt(end - 1) == '\n')
                .mapToObj(end -> new Object[] {end})
                .toArray(Object[][]::new);
    }

    /** Guards against whole lines of a copy that stay in the decoder of a kept connection. */
    @Test(dataProvider = "lineEnds")
    public void connectionOnWhichLinesOfCopyCameIsNotKept(int length) {
        serve(new Script(FIRST_ANSWER + FIRST_ANSWER.substring(0, length), FAILURE));
        assertThat(send("a", HttpMethod.POST).join()).isEqualTo("200 first");
        serve(new Script(FAILURE, ""));
        assertThat(send("b", HttpMethod.POST).join()).isEqualTo("500 failed");
    }

    /** Guards against a call that waits for an answer which is not read any more. */
    @Test
    public void switchOfProtocolsEndsTheCall() {
        String head = lines("HTTP/1.1 101 Switching Protocols", "Upgrade: other", "");
        serve(new Script(head + FIRST_ANSWER, ""));
        assertThat(send("a", HttpMethod.POST).join()).startsWith("failed: malformed answer");
    }

    /** Guards against a sound answer that is dropped since a proxy has named itself in its head. */
    @Test
    public void addressOfProxyIsNoStatusLine() {
        String head = lines("HTTP/1.1 200 OK", "Via: HTTP/1.1 192.168.0.7", "X-Request-Id: a");
        serve(new Script(head + lines("Content-Length: 2", "") + "ok", ""));
        assertThat(send("a", HttpMethod.POST).join()).isEqualTo("200 ok");
    }
}
