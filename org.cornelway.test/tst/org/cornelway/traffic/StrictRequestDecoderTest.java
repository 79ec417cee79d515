package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cornelway.route.CallerLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the decoder and {@link RequestValidator} together reject requests that are too long,
 * requests whose target is not a path, and requests with ambiguous framing, which another HTTP
 * parser could read differently.
 */
public class StrictRequestDecoderTest {
    /**
     * Decodes and validates a request; returns the status of the rejection, or empty if accepted.
     */
    private static Optional<HttpResponseStatus> rejection(String text) {
        CallerLimits limits = new CallerLimits(200, 10, 1_000, 1_000);
        EmbeddedChannel channel =
                new EmbeddedChannel(new StrictRequestDecoder(limits.maxHeaderBytes()));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        HttpRequest request = channel.readInbound();
        return RequestValidator.validate(request, limits);
    }

    @DataProvider
    public Object[][] refused() {
        String head = "POST /a HTTP/1.1\r\nHost: h\r\n";
        return new Object[][] {
            {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
            {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
            {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
            {head + "Transfer-Encoding: xchunked\r\n\r\n", 400},
            {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
            {head + "Content-Length : 3\r\n\r\nabc", 400},
            {head + "Content-Length: -3\r\n\r\nabc", 400},
            {head + "Content-Length: 11\r\n\r\n", 413},
            {head + "X-Long: " + "x".repeat(300) + "\r\n\r\n", 431},
            {"POST http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        };
    }

    @Test(dataProvider = "refused")
    public void rejectsAmbiguousAndTooLongRequests(String text, int status) {
        assertThat(rejection(text).map(HttpResponseStatus::code)).contains(status);
    }

    @Test
    public void acceptsValidFraming() {
        assertThat(rejection("GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n")).isEmpty();
        assertThat(rejection("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
                .isEmpty();
        assertThat(
                        rejection(
                                "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n"
                                        + "0\r\n\r\n"))
                .isEmpty();
    }
}
