package org.cornelway.platform.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cornelway.dispatch.LimitNotice;
import org.cornelway.route.CallKind;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.traffic.CallIdentity;
import org.cornelway.traffic.ForwardedHeaders;
import org.cornelway.traffic.RequestHead;
import org.cornelway.traffic.ResponseHead;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the decoding and encoding of the platform's names and formats, and how malformed input is
 * treated.
 */
public class WireCodecsTest {
    private final WireCallCodec mCodec = new WireCallCodec();

    private static DefaultHttpRequest request() {
        DefaultHttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
        request.headers().set("Host", "h").set("X-Request-Id", "r1");
        return request;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void readsHeadOfCall() {
        DefaultHttpRequest request = request();
        request.headers()
                .set("X-Deadline-Ms", "1500")
                .set("X-Model", "m/a1")
                .set("X-Prompt-Prefix", "5c:800,91:410,e4:250");
        RequestHead head = mCodec.readRequestHead(request).toOptional().orElseThrow();
        assertThat(head.timeoutMillis()).contains(1_500L);
        assertThat(head.target().orElseThrow().adapter()).isEqualTo("a1");
        assertThat(head.promptPartIds()).containsExactly("5c", "91", "e4");
    }

    /** Guards against a cost that overflows to less than 0 and would add to a customer's quota. */
    @Test
    public void numbersOfTokensAreBounded() {
        DefaultHttpRequest request = request();
        request.headers().set("X-Token-Count", "9e18,9e18").set("X-Length-Hint", "9e18");
        RequestHead head = mCodec.readRequestHead(request).toOptional().orElseThrow();
        assertThat(head.tokens().orElseThrow().total()).isBetween(1L, 1L << 40);
        assertThat(head.expectedTokens().orElseThrow()).isBetween(1L, 1L << 40);
    }

    @Test
    public void rejectsCallsWithoutExactlyOneRequestId() {
        DefaultHttpRequest none = request();
        none.headers().remove("X-Request-Id");
        DefaultHttpRequest two = request();
        two.headers().add("X-Request-Id", "r2");
        assertThat(mCodec.readRequestHead(none).toOptional()).isEmpty();
        assertThat(mCodec.readRequestHead(two).toOptional()).isEmpty();
    }

    @Test
    public void callerCannotSetHeadersOfTheSystem() {
        DefaultHttpRequest request = request();
        String[] systemHeaders = {
            "X-Hold",
            "X-Pin-Ms",
            "X-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "X-Target-Instance",
            "X-Request-Priority",
            "X-Required-Version"
        };
        for (String name : systemHeaders) {
            request.headers().set(name, "forged");
        }
        request.headers().set("Connection", "close, X-Model, X-Private").set("X-Model", "m");
        request.headers().set("Private", "p").set("Keep-Alive", "timeout=1");
        HttpHeaders to = new DefaultHttpHeaders();
        mCodec.writeForwardedHeaders(
                request,
                new ForwardedHeaders(
                        "i-1",
                        700,
                        Optional.of(2),
                        Optional.of("12"),
                        new CallIdentity.Unchanged()),
                to);
        assertThat(to.get("X-Target-Instance")).isEqualTo("i-1");
        assertThat(to.get("X-Deadline-Ms")).isEqualTo("700");
        assertThat(to.get("X-Request-Priority")).isEqualTo("2");
        assertThat(to.get("Last-Event-Id")).isEqualTo("12");
        assertThat(to.get("X-Model")).isEqualTo("m");
        assertThat(to.contains("X-Hold")).isFalse();
        assertThat(to.contains("Kv-From")).isFalse();
        assertThat(to.contains("Connection")).isFalse();
        assertThat(to.contains("Keep-Alive")).isFalse();
    }

    @Test
    public void readsHeadOfResponse() {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers()
                .set("X-Request-Id", "r1")
                .set("X-Server-Stamp", "s")
                .set("X-Server-Load", "3,1,8,250")
                .set("Keep-Alive", "timeout=5");
        ResponseHead head = mCodec.readResponseHead(response);
        assertThat(head.signed()).isTrue();
        assertThat(head.notRun()).isFalse();
        assertThat(head.load().orElseThrow().slownessPercent()).isEqualTo(250);
        assertThat(head.keepAliveMillis()).contains(5_000L);
    }

    @Test
    public void notRunIsIgnoredOnSuccess() {
        DefaultHttpResponse unavailable =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertThat(mCodec.readResponseHead(unavailable).notRun()).isFalse();
        unavailable.headers().set("X-Not-Run", "1");
        assertThat(mCodec.readResponseHead(unavailable).notRun()).isTrue();
        DefaultHttpResponse ok =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        ok.headers().set("X-Not-Run", "1");
        assertThat(mCodec.readResponseHead(ok).notRun()).isFalse();
    }

    @Test
    public void readsLeavingOnlyFromItsOneValue() {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        assertThat(mCodec.readResponseHead(response).leaving()).isFalse();
        for (String value : List.of("0", "true", "11", "")) {
            response.headers().set("Server-Leaving", value);
            assertThat(mCodec.readResponseHead(response).leaving()).as(value).isFalse();
        }
        response.headers().set("Server-Leaving", "1");
        assertThat(mCodec.readResponseHead(response).leaving()).isTrue();
    }

    @DataProvider
    public Object[][] retryAfter() {
        return new Object[][] {
            {"2", Optional.of(2_000L)},
            {"0.25", Optional.of(250L)},
            {"999999999", Optional.of(60_000L)},
            {"-1", Optional.empty()},
            {"soon", Optional.empty()},
            {"NaN", Optional.empty()},
            {"1e3", Optional.empty()},
            {"Wed, 21 Oct 2026 07:28:00 GMT", Optional.empty()},
        };
    }

    @Test(dataProvider = "retryAfter")
    public void readsRetryAfterOfUnavailableServer(String value, Optional<Long> millis) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        response.headers().set("Retry-After", value);
        assertThat(mCodec.readResponseHead(response).retryAfterMillis()).isEqualTo(millis);
        response.setStatus(HttpResponseStatus.OK);
        assertThat(mCodec.readResponseHead(response).retryAfterMillis()).isEmpty();
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {List.of(), new LimitNotice.None()},
            {List.of("1.2"), new LimitNotice.Rate(1.2)},
            {List.of("20"), new LimitNotice.Rate(20)},
            {List.of("0"), new LimitNotice.Rate(0)},
            {List.of("999999999"), new LimitNotice.Rate(999_999_999)},
            {List.of("9".repeat(400)), new LimitNotice.Malformed()},
            {List.of(""), new LimitNotice.Malformed()},
            {List.of("-1"), new LimitNotice.Malformed()},
            {List.of("NaN"), new LimitNotice.Malformed()},
            {List.of("Infinity"), new LimitNotice.Malformed()},
            {List.of("1e3"), new LimitNotice.Malformed()},
            {List.of("1,2"), new LimitNotice.Malformed()},
            {List.of("few"), new LimitNotice.Malformed()},
            {List.of("1.2", "3"), new LimitNotice.Malformed()},
        };
    }

    @Test(dataProvider = "limits")
    public void readsLimitOfServerInEachResponse(List<String> values, LimitNotice limit) {
        for (HttpResponseStatus status :
                List.of(
                        HttpResponseStatus.OK,
                        HttpResponseStatus.MISDIRECTED_REQUEST,
                        HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
            response.headers().add("Server-Limit", values);
            assertThat(mCodec.readResponseHead(response).limit()).isEqualTo(limit);
        }
    }

    @DataProvider
    public Object[][] malformedServers() {
        String ok = "{'Service':'s','Address':'1.2.3.4:80','State':'ready','born':1,'Seq':2}";
        return new Object[][] {
            {"not json"},
            {"[]"},
            {ok.replace("'born':1", "'born':'soon'")},
            {ok.replace("'born':1", "'born':1.5")},
            {ok.replace("ready", "sleeping")},
            {ok.replace("1.2.3.4:80", "1.2.3.4")},
            {ok.replace("1.2.3.4:80", "1.2.3.4:70000")},
            {ok.replace("1.2.3.4:80", "1.2.3.4:0")},
            {ok.replace("'Seq':2", "'Seq':null")},
            {ok.replace("'Service':'s'", "'Service':7")},
            {ok.replace("'Seq':2", "'Seq':2,'Models':{}")},
        };
    }

    @Test(dataProvider = "malformedServers")
    public void malformedAnnouncementIsIgnored(String json) {
        assertThat(new WireServerDecoder().decode("i", bytes(json.replace('\'', '"')))).isEmpty();
    }

    @Test
    public void readsConfigurationAndSkipsRouteOfUnknownKind() {
        String json =
                "{'Version':7,'New':{},'Routes':[{'Name':'r','Host':'H','Prefix':'/a/','Kind':"
                        + "'streaming','TimeoutMs':20,'TargetLatencyMs':2,'Priority':1,'Split':"
                        + "[{'Service':'s','Weight':90},{'Service':'t','Weight':10}],"
                        + "'MaxAttempts':2,'CanResume':true,'TargetGapMs':200},"
                        + "{'Name':'odd','Host':'h','Prefix':'/b/','Kind':'new','Service':'s'}],"
                        + "'Services':[{'Name':'s','MaxConns':250}],'Limits':{}}";
        RoutingConfiguration configuration =
                new WireRoutingDecoder()
                        .decode(bytes(json.replace('\'', '"')))
                        .toOptional()
                        .orElseThrow();
        assertThat(configuration.routes()).hasSize(1);
        assertThat(configuration.routes().get(0).kind()).isEqualTo(CallKind.STREAM);
        assertThat(configuration.routes().get(0).host()).isEqualTo("h");
        assertThat(configuration.routes().get(0).services()).hasSize(2);
        assertThat(new WireRoutingDecoder().decode(bytes("{}")).toOptional()).isEmpty();
    }

    @Test
    public void settingsErrorNamesFileFieldAndReason() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, "{\"NodeName\":\"n\",\"Zone\":7}");
        assertThatThrownBy(() -> WireSettings.read(file, "key"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage(file + ": Zone: a non-empty text is required");
        Files.writeString(
                file,
                "{\"NodeName\":\"n\",\"Zone\":\"z\",\"Region\":\"r\",\"Limits\":{\"CpuShare\":-1},"
                        + "\"Listen\":{\"Front\":\"h:1\",\"Ready\":\"h:2\",\"Control\":\"h:3\"},"
                        + "\"Platform\":{\"Address\":\"h:4\"}}");
        assertThatThrownBy(() -> WireSettings.read(file, "key"))
                .hasMessage(file + ": Limits.CpuShare: must not be negative");
        Files.writeString(file, "{");
        assertThatThrownBy(() -> WireSettings.read(file, "key"))
                .hasMessageStartingWith(file + ": unreadable");
        Files.delete(file);
    }
}
