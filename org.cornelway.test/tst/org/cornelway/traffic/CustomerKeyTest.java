package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.Customer;
import org.cornelway.route.CustomerKey;
import org.cornelway.route.Route;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.route.TokenQuota;
import org.cornelway.traffic.TimedServer.Part;
import org.cornelway.traffic.TimedServer.Script;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the check of customers' keys over real connections, at the arrival of a call and when a new
 * configuration has removed its key meanwhile. The servers publish that configuration themselves
 * before they answer, so that no time has to be waited for.
 */
public class CustomerKeyTest extends HedgeTestBase {
    private static final String ID = "call-1";
    private static final String KEY = "Authorization: Bearer k-a\r\n";
    private static final String CLOSE = "Connection: close\r\n";
    private static final String MODEL = "m";

    /** Longer than the silence after which a call is hedged. */
    private static final long SILENCE_MILLIS = 900;

    private final Queue<String> mHeads = new ConcurrentLinkedQueue<>();

    /** Called on the traffic thread when the head of a call is read. */
    private volatile Runnable mOnCall = () -> {};

    @Override
    CallCodec newCodec() {
        CallCodec codec = super.newCodec();
        return (CallCodec)
                Proxy.newProxyInstance(
                        CallCodec.class.getClassLoader(),
                        new Class<?>[] {CallCodec.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("readRequestHead")) {
                                mOnCall.run();
                            }
                            return method.invoke(codec, arguments);
                        });
    }

    @BeforeMethod
    public void publishCustomers() {
        mHeads.clear();
        mOnCall = () -> {};
        publish(false, customer("acme", "k-a"), customer("other", "k-o"));
        first().setScripts(head -> record(head, whole(0, "200 OK", "done")));
        second().setScripts(head -> record(head, whole(0, "200 OK", "done")));
    }

    private Script record(String head, Script script) {
        mHeads.add(head);
        return script;
    }

    private static Customer customer(String name, String key) {
        return new Customer(
                name, Set.of(new CustomerKey(key)), Optional.of(2), new TokenQuota(0, 0, 1, false));
    }

    private static Route withPublic(Route r, boolean isPublic) {
        return new Route(
                r.name(),
                r.host(),
                r.prefix(),
                r.kind(),
                r.timeoutMillis(),
                r.targetLatencyMillis(),
                r.priority(),
                r.services(),
                r.maxAttempts(),
                r.sticky(),
                r.resumable(),
                r.targetGapMillis(),
                isPublic);
    }

    private void publish(boolean isPublic, Customer... customers) {
        RoutingConfiguration usual = configuration(1, TIMEOUT_MILLIS, SERVICE).orElseThrow();
        publish(
                Optional.of(
                        new RoutingConfiguration(
                                2,
                                usual.routes().stream().map(r -> withPublic(r, isPublic)).toList(),
                                usual.services(),
                                CallerLimits.defaults(),
                                List.of(customers))),
                Map.of("s1", firstRecord(), "s2", secondRecord(SERVICE)));
    }

    private void removeKey() {
        publish(false, customer("acme", "k-new"));
    }

    private static Script whole(long afterMillis, String status, String body) {
        return new Script(List.of(new Part(afterMillis, answer(status, ID, body))), false);
    }

    private static void write(Socket socket, String path, String headers) throws IOException {
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: "
                        + ID
                        + "\r\n"
                        + headers
                        + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    }

    private String call(String path, String headers) throws IOException {
        try (Socket socket = connect()) {
            write(socket, path, headers + CLOSE);
            return readAll(socket);
        }
    }

    private String lastHead() {
        return mHeads.stream().reduce("", (before, next) -> next).toLowerCase(Locale.ROOT);
    }

    @DataProvider
    public Object[][] refused() {
        return new Object[][] {
            {""},
            {"Authorization: Bearer k-b\r\n"},
            {"Authorization: Bearer\r\n"},
            {"Authorization: k-a\r\n"},
            {KEY + KEY},
            {KEY + "Authorization: Bearer k-b\r\n"},
            {"X-Tenant: acme\r\n"},
        };
    }

    /** Guards against a call that reaches a server without the key of a customer. */
    @Test(dataProvider = "refused")
    public void callWithoutKeyIsRefused(String headers) throws IOException {
        String answer = call(SAFE_PATH, headers);
        assertThat(answer).startsWith("HTTP/1.1 401").contains("UNKNOWN_KEY");
        assertThat(answer.toLowerCase(Locale.ROOT))
                .contains("www-authenticate: bearer")
                .doesNotContain("k-a")
                .doesNotContain("k-b");
        assertThat(mHeads).isEmpty();
    }

    @Test
    public void unknownRouteIsToldWithoutKey() throws IOException {
        assertThat(call("/nowhere", "")).startsWith("HTTP/1.1 404");
    }

    @Test
    public void callBeforeConfigurationIsKnownIsNotChecked() throws IOException {
        publish(Optional.empty(), Map.of("s1", firstRecord()));
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 503");
        assertThat(mHeads).isEmpty();
    }

    /** Guards against a caller that poses as another customer, or hides its own name. */
    @Test
    public void serverIsToldOfCustomerWhateverCallerSends() throws IOException {
        String forged = "X-Tenant: other\r\nConnection: X-Tenant\r\n";
        assertThat(call(SAFE_PATH, KEY + forged)).startsWith("HTTP/1.1 200");
        assertThat(lastHead())
                .contains("x-tenant: acme\r\n")
                .doesNotContain("other")
                .doesNotContain("authorization");
    }

    @DataProvider
    public Object[][] publicCalls() {
        return new Object[][] {{"", false}, {"Authorization: Bearer k-b\r\n", false}, {KEY, true}};
    }

    /** Guards against a forged name or a key at a server of a public route. */
    @Test(dataProvider = "publicCalls")
    public void publicRouteNeedsNoKey(String headers, boolean isKnown) throws IOException {
        publish(true, customer("acme", "k-a"));
        assertThat(call(SAFE_PATH, headers + "X-Tenant: forged\r\n")).startsWith("HTTP/1.1 200");
        assertThat(lastHead()).doesNotContain("authorization").doesNotContain("forged");
        assertThat(lastHead().contains("x-tenant: acme\r\n")).isEqualTo(isKnown);
        assertThat(lastHead().contains("x-tenant")).isEqualTo(isKnown);
    }

    /** Guards against a change for deployments without customers. */
    @Test
    public void headersArePassedOnWithoutCustomers() throws IOException {
        publish(false);
        assertThat(call(SAFE_PATH, KEY + "X-Tenant: mine\r\n")).startsWith("HTTP/1.1 200");
        assertThat(lastHead()).contains("authorization: bearer k-a\r\n", "x-tenant: mine\r\n");
    }

    /** Guards against a customer whose own priority has no effect at engines. */
    @Test
    public void engineGetsPriorityOfCustomer() throws IOException {
        traffic().onModelGranted(firstRecord().incarnation(), new ModelTarget(MODEL, ""));
        call(STREAM_PATH, KEY + "X-Model: " + MODEL + "\r\n");
        assertThat(lastHead()).contains("x-request-priority: 4\r\n");
    }

    private static String readOne(Socket socket, String end) throws IOException {
        StringBuilder bytes = new StringBuilder();
        while (bytes.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            assertThat(next).as("received: %s", bytes).isNotNegative();
            bytes.append((char) next);
        }
        return bytes.toString();
    }

    /** Guards against a check per connection instead of per call. */
    @Test
    public void keyRemovedOnOpenConnectionIsRefused() throws IOException {
        try (Socket socket = connect()) {
            write(socket, SAFE_PATH, KEY);
            assertThat(readOne(socket, "done")).startsWith("HTTP/1.1 200");
            removeKey();
            write(socket, SAFE_PATH, KEY);
            assertThat(readOne(socket, "}}")).startsWith("HTTP/1.1 401");
            write(socket, SAFE_PATH, "Authorization: Bearer k-new\r\n");
            assertThat(readOne(socket, "done")).startsWith("HTTP/1.1 200");
        }
        assertThat(mHeads).hasSize(2);
    }

    private Script afterRemoval(String head, Script script) {
        removeKey();
        return record(head, script);
    }

    /** Guards against a call that is cut or repeated because its key is removed while it runs. */
    @Test
    public void runningCallGoesOnWithoutHedge() throws IOException {
        first().setScripts(head -> afterRemoval(head, whole(SILENCE_MILLIS, "200 OK", "done")));
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 200").endsWith("done");
        assertThat(first().arrivals()).isEqualTo(1);
        assertThat(second().arrivals()).isZero();
    }

    /** Guards against a test above that passes since nothing is ever hedged. */
    @Test
    public void runningCallIsHedgedWhileItsKeyStays() throws IOException {
        first().setScripts(head -> record(head, whole(SILENCE_MILLIS, "200 OK", "done")));
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 200").endsWith("done");
        assertThat(second().arrivals()).isEqualTo(1);
        assertThat(mHeads).allMatch(head -> head.contains("X-Tenant: acme\r\n"));
    }

    /** Guards against a repeat of a call that may have run, and against calling it not run. */
    @Test
    public void callThatMayHaveRunIsNotRepeated() throws IOException {
        first().setScripts(head -> afterRemoval(head, new Script(List.of(), true)));
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 502").contains("OUTCOME_UNKNOWN");
        assertThat(second().arrivals()).isZero();
    }

    @DataProvider
    public Object[][] changesOfOwner() {
        return new Object[][] {
            {new Customer[] {customer("acme", "k-new")}},
            {new Customer[] {customer("other", "k-a")}},
        };
    }

    private static Script refusal() {
        String status = "503 Service Unavailable";
        String head = head(status, ID, "X-Not-Run: 1\r\nContent-Length: 0");
        return new Script(List.of(new Part(0, head)), false);
    }

    /** Guards against a send for a customer that no longer has the key. */
    @Test(dataProvider = "changesOfOwner")
    public void refusedCallEndsWithoutAnotherSend(Customer[] customers) throws IOException {
        first().setScripts(
                        head -> {
                            publish(false, customers);
                            return record(head, refusal());
                        });
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 401");
        assertThat(mHeads).hasSize(1);
    }

    /** Guards against a call that is refused although its route needs no key any more. */
    @Test
    public void callIsSentAgainIfItsRouteHasBecomePublic() throws IOException {
        first().setScripts(
                        head -> {
                            publish(true, customer("acme", "k-new"));
                            return record(head, refusal());
                        });
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 200");
        assertThat(mHeads).hasSize(2);
        assertThat(lastHead()).doesNotContain("x-tenant").doesNotContain("authorization");
    }

    /** Guards against a call that waits for its model until its deadline without a valid key. */
    @Test
    public void waitingCallEndsSoonAfterItsKeyIsRemoved() throws IOException {
        try (Socket socket = connect()) {
            write(socket, STREAM_PATH, KEY + "X-Model: " + MODEL + "\r\n" + CLOSE);
            // Another call on the entry shows that the first one has been read.
            assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 200");
            removeKey();
            assertThat(readAll(socket)).startsWith("HTTP/1.1 401");
        }
        assertThat(mHeads).hasSize(1);
    }

    /** Guards against a send whose key is removed after the choice of its server. */
    @Test
    public void callIsNotSentIfItsKeyIsRemovedWhileItsServerIsConnected() throws IOException {
        // The report is made once the call has been dispatched, before the server is connected.
        mOnCall = () -> traffic().report(report -> removeKey());
        assertThat(call(SAFE_PATH, KEY)).startsWith("HTTP/1.1 401");
        assertThat(mHeads).isEmpty();
    }

    /** Guards against a stream that is resumed for a customer that no longer has the key. */
    @Test
    public void brokenStreamIsNotResumed() throws IOException {
        String events = "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n";
        String begin = head("200 OK", ID, "Content-Length: 500") + events;
        first().setScripts(
                        head -> afterRemoval(head, new Script(List.of(new Part(0, begin)), true)));
        assertThat(call(STREAM_PATH, KEY))
                .startsWith("HTTP/1.1 200")
                .contains("id: 2\n")
                .doesNotContain("\r\n0\r\n");
        assertThat(first().arrivals() + second().arrivals()).isEqualTo(1);
    }
}
