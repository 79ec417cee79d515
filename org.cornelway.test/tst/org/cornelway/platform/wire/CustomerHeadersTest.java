package org.cornelway.platform.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cornelway.result.Result;
import org.cornelway.route.CustomerKey;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.traffic.CallIdentity;
import org.cornelway.traffic.ForwardedHeaders;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how a customer's key is read, and what servers are told of the customer. */
public class CustomerHeadersTest {
    private final WireCallCodec mCodec = new WireCallCodec();

    private static DefaultHttpRequest request(List<String> authorization) {
        DefaultHttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
        request.headers().set("Host", "h").set("X-Request-Id", "r1");
        request.headers().add("Authorization", authorization);
        return request;
    }

    @DataProvider
    public Object[][] authorizations() {
        return new Object[][] {
            {List.of(), Optional.empty()},
            {List.of("Bearer k1"), Optional.of("k1")},
            {List.of("bearer k1"), Optional.of("k1")},
            {List.of("Bearer   k1 "), Optional.of("k1")},
            {List.of("Bearer K1"), Optional.of("K1")},
            {List.of("Bearer k1", "Bearer k1"), Optional.empty()},
            {List.of("Bearer k1", "Bearer k2"), Optional.empty()},
            {List.of("Bearer k1", ""), Optional.empty()},
            {List.of(""), Optional.empty()},
            {List.of("k1"), Optional.empty()},
            {List.of("Bearer"), Optional.empty()},
            {List.of("Bearer "), Optional.empty()},
            {List.of("Bearerk1"), Optional.empty()},
            {List.of("Basic azE6"), Optional.empty()},
        };
    }

    /** Guards against a malformed or ambiguous header that is taken for a key. */
    @Test(dataProvider = "authorizations")
    public void readsKeyOfOneWellFormedHeader(List<String> values, Optional<String> key) {
        assertThat(mCodec.readRequestHead(request(values)).toOptional().orElseThrow().customerKey())
                .isEqualTo(key.map(CustomerKey::new));
    }

    private HttpHeaders forwarded(CallIdentity identity) {
        DefaultHttpRequest request = request(List.of("Bearer k1", "Bearer k2"));
        request.headers()
                .add("x-tenant", List.of("forged", "again"))
                .set("Connection", "close, X-Tenant, X-Model")
                .set("X-Model", "m");
        HttpHeaders to = new DefaultHttpHeaders();
        mCodec.writeForwardedHeaders(
                request,
                new ForwardedHeaders("i-1", 700, Optional.empty(), Optional.empty(), identity),
                to);
        assertThat(to.get("X-Model")).isEqualTo("m");
        return to;
    }

    /** Guards against a server that gets a key, or a name that the caller has chosen. */
    @Test
    public void serverGetsNameOfCustomerInsteadOfKey() {
        HttpHeaders to = forwarded(new CallIdentity.Customer(Optional.of("acme")));
        assertThat(to.getAll("X-Tenant")).containsExactly("acme");
        assertThat(to.contains("Authorization")).isFalse();
    }

    /** Guards against a forged name on a public route. */
    @Test
    public void serverGetsNoNameIfThereIsNoCustomer() {
        HttpHeaders to = forwarded(new CallIdentity.Customer(Optional.empty()));
        assertThat(to.contains("X-Tenant")).isFalse();
        assertThat(to.contains("Authorization")).isFalse();
    }

    /** Guards against a change for deployments without customers. */
    @Test
    public void headersOfCallerAreUnchangedWithoutCustomers() {
        HttpHeaders to = forwarded(CallIdentity.UNCHANGED);
        assertThat(to.getAll("X-Tenant")).containsExactly("forged", "again");
        assertThat(to.getAll("Authorization")).containsExactly("Bearer k1", "Bearer k2");
    }

    private static Result<RoutingConfiguration> decode(String json) {
        String text = json.replace('\'', '"');
        return new WireRoutingDecoder().decode(text.getBytes(StandardCharsets.UTF_8));
    }

    @DataProvider
    public Object[][] malformedConfigurations() {
        return new Object[][] {
            {"{'Version':1,'Routes':[],'Tenants':'k-secret'}"},
            {"{'Version':1,'Routes':[],'Tenants':{'ApiKeys':['k-secret']}}"},
            {"{'Version':1,'Routes':[],'Tenants':[{'ApiKeys':[k-secret]}]}"},
            {"{'Version':1,'Routes':[],'Tenants':[{'ApiKeys':['k-secret"},
        };
    }

    /** Guards against calls that pass unchecked, and against a key in config.refused. */
    @Test(dataProvider = "malformedConfigurations")
    public void malformedCustomersAreRefusedWithoutQuotingKeys(String json) {
        Result<RoutingConfiguration> decoded = decode(json);
        assertThat(decoded.toOptional()).isEmpty();
        assertThat(decoded.failure().orElseThrow().message()).doesNotContain("secret");
    }

    @Test
    public void missingOrEmptyListOfCustomersNeedsNoKeys() {
        for (String customers : List.of("", ",'Tenants':null", ",'Tenants':[]")) {
            RoutingConfiguration configuration =
                    decode("{'Version':1,'Routes':[]" + customers + "}").toOptional().orElseThrow();
            assertThat(configuration.customers()).isEmpty();
        }
    }
}
