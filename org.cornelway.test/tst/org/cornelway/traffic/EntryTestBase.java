package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import org.cornelway.ScriptedServer;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.dispatch.LimitNotice;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.EngineNoticeListener;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.platform.wire.WireEngineControl;
import org.cornelway.platform.wire.WireStore;
import org.cornelway.route.CallKind;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.route.WeightedService;
import org.cornelway.time.Clock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of tests that call a {@link ScriptedServer} through the traffic plane of an entry in
 * the process of the test, over real connections.
 */
public abstract class EntryTestBase {
    static final String UNSAFE_PATH = "/unsafe/a";
    static final String STREAM_PATH = "/stream/a";
    static final String RESUMABLE_PATH = "/resume/a";
    static final String REQUEST_ID = "call-1";
    private static final String HOST = "host.example";
    private static final String SERVICE = "service";
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int READ_TIMEOUT_MILLIS = 8_000;

    private final Clock mClock = Clock.system();
    private ScriptedServer mServer;
    private TrafficPlane mTraffic;
    private HttpEndpoint mFront;
    private MetricRegistry mMetrics;
    private long mIncarnations;

    @BeforeClass
    public final void startEntry() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mFront = new HttpEndpoint("127.0.0.1", free.getLocalPort());
        }
        MetricRegistry metrics = new MetricRegistry();
        mMetrics = metrics;
        mTraffic =
                new TrafficPlane(
                        new WireCallCodec(),
                        mClock,
                        "zone-1",
                        mFront,
                        new HttpEndpoint("127.0.0.1", 1),
                        new SlidingWindowRetryBudget(mClock, 1_000, 1, 10),
                        this::requestModel,
                        new EventLog(mClock, metrics),
                        metrics);
        mTraffic.frontServer().start().blockingAwait();
    }

    @AfterClass(alwaysRun = true)
    public final void stopEntry() {
        mTraffic.shutdown();
    }

    /** Starts a server at an address to which the entry has no connection. */
    @BeforeMethod
    public final void startServer() throws IOException {
        mServer = new ScriptedServer();
    }

    @AfterMethod(alwaysRun = true)
    public final void stopServer() throws IOException {
        mServer.close();
    }

    final ScriptedServer server() {
        return mServer;
    }

    /** Returns how many calls have waited for the first configuration. */
    final long waitedCount() {
        return mMetrics.counter("calls.waited_for_configuration").getCount();
    }

    /** Returns the traffic of the entry. */
    final TrafficPlane traffic() {
        return mTraffic;
    }

    /** Returns the client for requests of the entry to the platform. */
    final PlatformHttpClient platformClient() {
        return mTraffic.platformClient();
    }

    /** Returns the client of engines, which tells the entry what they say of themselves. */
    final WireEngineControl newEngineControl(long timeoutMillis) {
        return new WireEngineControl(
                platformClient(),
                timeoutMillis,
                mClock,
                new EngineNoticeListener() {
                    @Override
                    public void onLeaving(ServerRecord server) {
                        mTraffic.recordLeaving(server);
                    }

                    @Override
                    public void onReply(ServerRecord server, LimitNotice notice, long sentMillis) {
                        mTraffic.recordReplyLimit(server, notice, sentMillis);
                    }
                });
    }

    /** Returns a client of the platform's key-value service, which the server stands for. */
    final WireStore newStore() {
        HttpEndpoint endpoint = new HttpEndpoint("127.0.0.1", mServer.port());
        return new WireStore(platformClient(), endpoint, READ_TIMEOUT_MILLIS);
    }

    /** Returns the announcement of the server. */
    final ServerRecord serverRecord() {
        return new ServerRecord(
                new ServerIncarnation("e1", mIncarnations),
                SERVICE,
                "127.0.0.1",
                mServer.port(),
                "zone-1",
                8,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    /** Announces the server as newly started, so that earlier failures have no effect. */
    final void announceServer() {
        mIncarnations++;
        ServerRecord record = serverRecord();
        RoutingConfiguration configuration =
                new RoutingConfiguration(
                        1,
                        List.of(
                                route("/unsafe/", CallKind.UNSAFE),
                                route("/stream/", CallKind.STREAM),
                                resumableRoute()),
                        Map.of(SERVICE, new ServiceDefinition(SERVICE, 50, Optional.empty())),
                        CallerLimits.defaults(),
                        List.of());
        mTraffic.publish(
                new TrafficView(
                        Optional.of(new RouteTable(configuration)),
                        new DirectorySnapshot(Map.of(record.id(), record)),
                        1));
    }

    private static Route route(String prefix, CallKind kind) {
        return new Route(
                prefix,
                HOST,
                prefix,
                kind,
                TIMEOUT_MILLIS,
                1_000,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                1,
                false,
                false,
                0,
                false);
    }

    private static Route resumableRoute() {
        return new Route(
                "/resume/",
                HOST,
                "/resume/",
                CallKind.STREAM,
                TIMEOUT_MILLIS,
                1_000,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false,
                true,
                0,
                false);
    }

    /** Called on the traffic thread when a call needs a model that no server holds. */
    void requestModel(ModelRequester.Request request, LongConsumer tooLate) {}

    /** Records that the server holds a model. */
    final void grantModel(String model) {
        mTraffic.onModelGranted(serverRecord().incarnation(), new ModelTarget(model, ""));
    }

    /** Sends a call on a new connection and returns all bytes up to the close by the entry. */
    final String callUntilClose(String method, String path) throws IOException {
        return callUntilClose(method, path, "");
    }

    /**
     * As {@link #callUntilClose(String, String)}.
     *
     * @param headers header lines in addition, each with its line break
     */
    final String callUntilClose(String method, String path, String headers) throws IOException {
        try (Socket socket = new Socket(mFront.host(), mFront.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + HOST
                            + "\r\nX-Request-Id: "
                            + REQUEST_ID
                            + "\r\n"
                            + headers
                            + "Connection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
