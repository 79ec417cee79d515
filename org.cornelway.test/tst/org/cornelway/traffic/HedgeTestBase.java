package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.route.CallKind;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.route.WeightedService;
import org.cornelway.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of tests that call two servers through the traffic plane of an entry in the process of
 * the test, over real connections. Calls go to the first server; the budget allows one call to be
 * sent again.
 */
public abstract class HedgeTestBase {
    static final String SAFE_PATH = "/safe/a";
    static final String STREAM_PATH = "/resume/a";
    static final String UNSAFE_PATH = "/unsafe/a";
    static final String SERVICE = "service";
    static final long TIMEOUT_MILLIS = 5_000;
    private static final String HOST = "host.example";
    private static final long GAP_MILLIS = 200;
    private static final int READ_TIMEOUT_MILLIS = 8_000;
    private static final int SMALL_BUFFER_BYTES = 16_384;

    /** So many that the number of calls has no effect on the choice of a server. */
    private static final int SLOTS = 100;

    private TimedServer mFirst;
    private TimedServer mSecond;
    private TrafficPlane mTraffic;
    private HttpEndpoint mFront;

    @BeforeMethod
    public final void start() throws IOException {
        mFirst = new TimedServer();
        mSecond = new TimedServer();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mFront = new HttpEndpoint("127.0.0.1", free.getLocalPort());
        }
        Clock clock = newClock();
        MetricRegistry metrics = new MetricRegistry();
        mTraffic =
                new TrafficPlane(
                        newCodec(),
                        clock,
                        "zone-1",
                        mFront,
                        new HttpEndpoint("127.0.0.1", 1),
                        newBudget(clock),
                        (request, tooLate) -> {},
                        new EventLog(clock, metrics),
                        metrics);
        mTraffic.frontServer().start().blockingAwait();
        announce(mSecond.port());
    }

    /** Returns the retry budget of the entry. */
    SlidingWindowRetryBudget newBudget(Clock clock) {
        return new SlidingWindowRetryBudget(clock, 60_000, 0, 2);
    }

    /** Returns the codec of the entry. */
    CallCodec newCodec() {
        return new WireCallCodec();
    }

    @AfterMethod(alwaysRun = true)
    public final void stop() throws IOException {
        mTraffic.shutdown();
        mFirst.close();
        mSecond.close();
    }

    /** Returns the clock of the entry. */
    Clock newClock() {
        return Clock.system();
    }

    final TimedServer first() {
        return mFirst;
    }

    final TimedServer second() {
        return mSecond;
    }

    final TrafficPlane traffic() {
        return mTraffic;
    }

    /** Announces the first server, and the second one at a port. */
    final void announce(int secondPort) {
        ServerRecord second = server("s2", secondPort, "zone-2", SERVICE);
        publish(
                configuration(1, TIMEOUT_MILLIS, SERVICE),
                Map.of("s1", firstRecord(), "s2", second));
    }

    /** Publishes a configuration and the servers; there is no configuration if it is empty. */
    final void publish(
            Optional<RoutingConfiguration> configuration, Map<String, ServerRecord> servers) {
        mTraffic.publish(
                new TrafficView(
                        configuration.map(RouteTable::new), new DirectorySnapshot(servers), 1));
    }

    /** Returns the announcement of the first server. */
    final ServerRecord firstRecord() {
        return server("s1", mFirst.port(), "zone-1", SERVICE);
    }

    /** Returns an announcement of the second server as one of a service. */
    final ServerRecord secondRecord(String service) {
        return server("s2", mSecond.port(), "zone-2", service);
    }

    /**
     * Returns a configuration.
     *
     * @param timeoutMillis timeout of each route
     * @param service service of each route
     */
    static Optional<RoutingConfiguration> configuration(
            long version, long timeoutMillis, String service) {
        return Optional.of(
                new RoutingConfiguration(
                        version,
                        List.of(
                                route("/safe/", CallKind.SAFE, timeoutMillis, service),
                                route("/unsafe/", CallKind.UNSAFE, timeoutMillis, service),
                                route("/resume/", CallKind.STREAM, timeoutMillis, service)),
                        Map.of(service, new ServiceDefinition(service, 50, Optional.empty())),
                        CallerLimits.defaults(),
                        List.of()));
    }

    private static ServerRecord server(String id, int port, String zone, String service) {
        return new ServerRecord(
                new ServerIncarnation(id, 1),
                service,
                "127.0.0.1",
                port,
                zone,
                SLOTS,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private static Route route(String prefix, CallKind kind, long timeoutMillis, String service) {
        return new Route(
                prefix,
                HOST,
                prefix,
                kind,
                timeoutMillis,
                1_000,
                0,
                List.of(new WeightedService(service, 1)),
                2,
                false,
                kind == CallKind.STREAM,
                GAP_MILLIS,
                false);
    }

    /** Returns the head of an answer. */
    static String head(String status, String requestId, String framing) {
        return "HTTP/1.1 "
                + status
                + "\r\nX-Request-Id: "
                + requestId
                + "\r\nX-Server-Stamp: s\r\n"
                + framing
                + "\r\n\r\n";
    }

    /** Returns an answer without a stream. */
    static String answer(String status, String requestId, String body) {
        return head(status, requestId, "Content-Length: " + body.length()) + body;
    }

    /** Returns a new connection to the entry. */
    final Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(mFront.host(), mFront.port()));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends a call on a new connection and returns it, before anything is read from it. */
    final Socket send(String path, String requestId) throws IOException {
        Socket socket = connect();
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + HOST
                        + "\r\nX-Request-Id: "
                        + requestId
                        + "\r\nConnection: close\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Returns all bytes that the entry sends, up to its close. */
    static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** Sends a call and returns all bytes up to the close by the entry. */
    final String call(String path) throws IOException {
        try (Socket socket = send(path, "call-1")) {
            return readAll(socket);
        }
    }
}
