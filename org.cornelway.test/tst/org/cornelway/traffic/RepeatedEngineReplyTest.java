package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.RepeatingServer;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.EngineNoticeListener;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.platform.wire.WireEngineControl;
import org.cornelway.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no part of an engine's late second reply is taken for the reply to the next order or
 * report.
 */
public class RepeatedEngineReplyTest {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int ALL = Integer.MAX_VALUE;

    private MultiThreadIoEventLoopGroup mGroup;
    private WireEngineControl mEngines;
    private RepeatingServer mServer;
    private boolean mEchoesId;
    private final AtomicInteger mReports = new AtomicInteger();

    @BeforeMethod
    public void start() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) mGroup.next();
        WireCallCodec codec = new WireCallCodec();
        EventLog log = new EventLog(Clock.system(), new MetricRegistry());
        UpstreamPool pool = new UpstreamPool(loop, codec, Clock.system(), log);
        mEngines =
                new WireEngineControl(
                        new PlatformHttpClient(loop, pool, codec),
                        TIMEOUT_MILLIS,
                        Clock.system(),
                        EngineNoticeListener.NONE);
        mServer = new RepeatingServer(this::answer);
        mReports.set(0);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Answers an order with the status that its model names, and each report with its number. */
    private String answer(String request) {
        String id = RepeatingServer.requestId(request);
        boolean echoes = mEchoesId && !id.isEmpty();
        String headers = echoes ? "X-Request-Id: " + id + "\r\n" : "";
        if (request.startsWith("GET /report ")) {
            String body =
                    "{\"Models\":[],\"Busy\":false,\"Seq\":" + mReports.getAndIncrement() + "}";
            return RepeatingServer.answer("200 OK", headers, body);
        }
        String status = request.replaceAll("(?s).*\"Model\":\"(\\d+)\".*", "$1");
        return RepeatingServer.answer(status + " Reply", headers, "");
    }

    /** Bytes of the copy that follow the reply at once, and bytes written in all. */
    @DataProvider
    public Object[][] copies() {
        return new Object[][] {{0, ALL}, {1, ALL}, {9, ALL}, {20, ALL}, {40, ALL}, {ALL, ALL}};
    }

    /** Bytes that are written of a copy which ends within its head. */
    @DataProvider
    public Object[][] lengthsOfCutCopies() {
        return new Object[][] {{5}, {12}, {20}, {22}, {30}, {50}, {60}};
    }

    private ServerRecord server() {
        return new ServerRecord(
                new ServerIncarnation("s1", 1),
                "service",
                "127.0.0.1",
                mServer.port(),
                "zone",
                8,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private OrderReply order(int status) {
        ServerOrder order =
                new ServerOrder(true, Integer.toString(status), Optional.empty(), 0, "self", 1);
        return mEngines.order(server(), order, SendPermit.ALWAYS).blockingGet();
    }

    private void assertEachOrderGetsItsOwnReply() {
        assertThat(order(202)).isEqualTo(new OrderReply.Accepted());
        assertThat(order(409)).isEqualTo(new OrderReply.Conflict());
        assertThat(order(412)).isEqualTo(new OrderReply.Fenced());
        assertThat(order(202)).isEqualTo(new OrderReply.Accepted());
        assertThat(order(200)).isEqualTo(new OrderReply.AlreadyInEffect());
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierReplyIsNotTakenForTheReplyToTheNextOrder(int atOnce, int inAll) {
        mEchoesId = true;
        mServer.setCopy(atOnce, inAll);
        assertEachOrderGetsItsOwnReply();
    }

    @Test(dataProvider = "copies")
    public void copyOfReplyWithoutIdIsNotTakenForTheReplyToTheNextOrder(int atOnce, int inAll) {
        mEchoesId = false;
        mServer.setCopy(atOnce, inAll);
        assertEachOrderGetsItsOwnReply();
    }

    @Test(dataProvider = "lengthsOfCutCopies")
    public void copyCutWithinItsHeadConfirmsNoOrder(int length) {
        mEchoesId = true;
        mServer.setCopy(0, length);
        assertThat(order(202)).isEqualTo(new OrderReply.Accepted());
        assertThat(order(409))
                .isInstanceOfAny(OrderReply.Conflict.class, OrderReply.Unconfirmed.class);
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierReportIsNotTakenForTheNextReport(int atOnce, int inAll) {
        mEchoesId = true;
        mServer.setCopy(atOnce, inAll);
        for (int i = 0; i < 4; i++) {
            EngineReport report = mEngines.report(server()).blockingGet();
            assertThat(report.acceptedOrders()).isEqualTo(i);
        }
    }

    @Test(dataProvider = "copies")
    public void copyOfReportWithoutIdIsNotTakenForTheReplyToTheNextOrder(int atOnce, int inAll) {
        mEchoesId = false;
        mServer.setCopy(atOnce, inAll);
        for (int i = 0; i < 3; i++) {
            mEngines.report(server()).onErrorComplete().blockingGet();
            assertThat(order(409)).isEqualTo(new OrderReply.Conflict());
        }
    }

    /** Guards against new connections for reports, which are read more often than orders sent. */
    @Test
    public void engineThatEchoesNoIdGetsOneMoreConnectionForEachOrderOnly() {
        mEchoesId = false;
        mServer.setCopy(0, 0);
        for (int i = 0; i < 5; i++) {
            for (int j = 0; j < 3; j++) {
                mEngines.report(server()).blockingGet();
            }
            assertThat(order(202)).isEqualTo(new OrderReply.Accepted());
        }
        assertThat(mServer.connections()).isEqualTo(6);
    }

    @Test
    public void engineThatEchoesIdsKeepsItsConnection() {
        mEchoesId = true;
        mServer.setCopy(0, 0);
        assertEachOrderGetsItsOwnReply();
        assertThat(mServer.connections()).isEqualTo(1);
    }
}
