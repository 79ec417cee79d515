package org.cornelway.platform.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.cornelway.config.Json;
import org.testng.annotations.Test;

/**
 * Tests that no decoder of the platform's formats throws an unexpected error on malformed input.
 */
public class MalformedInputTest {
    private static final int EXAMPLES = 3_000;

    private static final String SERVER =
            "{'Service':'s','Address':'1.2.3.4:80','Zone':'z','State':'ready','born':1,'Seq':2,"
                    + "'Slots':8,'Busy':false,"
                    + "'Models':[{'Name':'m','Version':1,'Adapters':['a1@2']}],"
                    + "'AtHand':{'InMemory':['m'],'OnDisk':['m','n']},'Pending':['m/a2@1']}";

    private static final String CONFIGURATION =
            "{'Version':3,'Routes':[{'Name':'r','Host':'h','Prefix':'/a/','Kind':'streaming',"
                    + "'TimeoutMs':1000,'TargetLatencyMs':300,'Priority':1,'Service':'s',"
                    + "'MaxAttempts':2,'CanResume':true,'TargetGapMs':200}],"
                    + "'Services':[{'Name':'s','MaxConns':250,"
                    + "'Engine':{'Slots':8,'WeightsSize':210.0,"
                    + "'AdapterSlots':4,'HostMb':100.0,'LoadsPerS':5.0,'Models':[{'Name':'m',"
                    + "'WeightsSize':100.0,'LoadS':0.1,'DiskS':0.05,'WarmS':0.05,'Adapters':2,"
                    + "'AdapterMb':0.1}]}}],'Limits':{'MaxHeaderBytes':1000}}";

    private static final String[] VALUES = {
        "null", "-1", "1e30", "1.5", "'x'", "''", "[]", "{}", "true", "99999999999999999999"
    };

    /** Replaces values and bytes of a document at random; the seed fixes the changes. */
    private static byte[] mutated(String json, int seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(json.replace('\'', '"'));
        for (int i = random.nextInt(3); i >= 0; i--) {
            if (random.nextBoolean()) {
                text.setCharAt(random.nextInt(text.length()), (char) random.nextInt(256));
            } else {
                replaceValue(text, random);
            }
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void replaceValue(StringBuilder text, Random random) {
        int colon = text.indexOf(":", random.nextInt(text.length()));
        int end = colon < 0 ? -1 : text.indexOf(",", colon);
        if (end > 0) {
            String value = VALUES[random.nextInt(VALUES.length)].replace('\'', '"');
            text.replace(colon + 1, end, value);
        }
    }

    @Test
    public void announcementsAreReadOrIgnored() {
        qt().withFixedSeed(1)
                .withExamples(EXAMPLES)
                .forAll(integers().all())
                .checkAssert(
                        seed ->
                                new WireServerDecoder()
                                        .decode("i", mutated(SERVER, seed))
                                        .ifPresent(
                                                server ->
                                                        assertThat(server.port())
                                                                .isBetween(1, 65_535)));
    }

    @Test
    public void reportsAreReadOrRejected() {
        qt().withFixedSeed(1)
                .withExamples(EXAMPLES)
                .forAll(integers().all())
                .checkAssert(
                        seed -> {
                            try {
                                WireServerDecoder.decodeReport(
                                        Json.lenientMapper().readTree(mutated(SERVER, seed)));
                            } catch (IOException e) {
                                assertThat(e.getMessage()).isNotEmpty();
                            }
                        });
    }

    @Test
    public void configurationsAreReadOrRefused() {
        qt().withFixedSeed(1)
                .withExamples(EXAMPLES)
                .forAll(integers().all())
                .checkAssert(
                        seed ->
                                assertThat(
                                                new WireRoutingDecoder()
                                                        .decode(mutated(CONFIGURATION, seed)))
                                        .isNotNull());
    }

    @Test
    public void headsAreReadOrRefused() {
        String[] names = {
            "X-Request-Id", "X-Deadline-Ms", "X-Model", "X-Token-Count", "X-Prompt-Prefix",
            "X-Length-Hint", "Last-Event-Id", "X-Server-Load", "Keep-Alive", "Host"
        };
        qt().withFixedSeed(1)
                .withExamples(EXAMPLES)
                .forAll(integers().all())
                .checkAssert(
                        seed -> {
                            Random random = new Random(seed);
                            DefaultHttpRequest request =
                                    new DefaultHttpRequest(
                                            HttpVersion.HTTP_1_1, HttpMethod.POST, "/a/b");
                            DefaultHttpResponse response =
                                    new DefaultHttpResponse(
                                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                            for (String name : names) {
                                String value = VALUES[random.nextInt(VALUES.length)] + ",:/=1";
                                String part = value.substring(random.nextInt(value.length()));
                                request.headers().set(name, part);
                                response.headers().set(name, part);
                            }
                            assertThat(new WireCallCodec().readRequestHead(request)).isNotNull();
                            assertThat(new WireCallCodec().readResponseHead(response)).isNotNull();
                        });
    }
}
