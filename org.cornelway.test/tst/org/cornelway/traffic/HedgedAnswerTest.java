package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.traffic.TimedServer.Part;
import org.cornelway.traffic.TimedServer.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no answer of a silent server which goes on is given up for that of another one. */
public class HedgedAnswerTest extends HedgeTestBase {
    private static final String ID = "call-1";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final Script SILENCE = new Script(List.of(), false);

    /** From the hedge to the failure of its server; longer than both attempts may run. */
    private static final long LATE_FAILURE_MILLIS = 380;

    private static final int CONNECT_TIMEOUT_MILLIS = 100;

    private static Script whole(long afterMillis, String status, String body) {
        return new Script(List.of(new Part(afterMillis, answer(status, ID, body))), false);
    }

    private static String event(int id, String data) {
        String text = "id: " + id + "\ndata: " + data + "\n\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String events(int first, int last) {
        StringBuilder events = new StringBuilder();
        for (int id = first; id <= last; id++) {
            events.append(event(id, "piece"));
        }
        return events.toString();
    }

    private static List<String> ids(String response) {
        return response.lines().filter(line -> line.startsWith("id: ")).toList();
    }

    private static List<String> idsUpTo(int last) {
        List<String> ids = new ArrayList<>();
        for (int id = 1; id <= last; id++) {
            ids.add("id: " + id);
        }
        return ids;
    }

    /** A stream of five events that is silent after the second one. */
    private static Script pausedStream(long pauseMillis) {
        return new Script(
                List.of(
                        new Part(0, head("200 OK", ID, CHUNKED) + events(1, 2)),
                        new Part(pauseMillis, events(3, 5) + "0\r\n\r\n")),
                false);
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {"error at once", whole(0, "500 Internal Error", "failed")},
            {"error later", whole(LATE_FAILURE_MILLIS, "500 Internal Error", "failed")},
            {"close later", new Script(List.of(new Part(LATE_FAILURE_MILLIS, "")), true)},
            {
                "garbage later",
                new Script(List.of(new Part(LATE_FAILURE_MILLIS, "garbage\r\n\r\n")), true)
            },
        };
    }

    /** Guards against a late answer that is given up for a server that then fails. */
    @Test(dataProvider = "failures")
    public void failureOfSecondServerDoesNotEndLateAnswer(String name, Script failure)
            throws IOException {
        first().setScripts(head -> whole(1_000, "200 OK", "done"));
        second().setScripts(head -> failure);
        assertThat(call(SAFE_PATH)).startsWith("HTTP/1.1 200").endsWith("done");
    }

    /** Guards against an answer that is ended while the server sends it. */
    @Test
    public void answerThatArrivesIsNotEndedForSilentServer() throws IOException {
        first().setScripts(
                        head ->
                                new Script(
                                        List.of(
                                                new Part(
                                                        520,
                                                        head("200 OK", ID, "Content-Length: 6")),
                                                new Part(120, "ab"),
                                                new Part(120, "cd"),
                                                new Part(120, "ef")),
                                        false));
        second().setScripts(head -> SILENCE);
        assertThat(call(SAFE_PATH)).startsWith("HTTP/1.1 200").endsWith("abcdef");
        assertThat(first().arrivals()).isEqualTo(1);
    }

    /** Guards against the failure of a second server in place of what the first one has said. */
    @Test
    public void callerGetsClientErrorOfFirstServer() throws IOException {
        first().setScripts(head -> whole(600, "404 Not Found", "no such thing"));
        second().setScripts(head -> whole(900, "500 Internal Error", "failed"));
        assertThat(call(SAFE_PATH)).startsWith("HTTP/1.1 404");
    }

    @DataProvider
    public Object[][] kinds() {
        Script late =
                new Script(
                        List.of(
                                new Part(
                                        1_950,
                                        head("200 OK", ID, CHUNKED) + events(1, 5) + "0\r\n\r\n")),
                        false);
        return new Object[][] {
            {SAFE_PATH, whole(900, "200 OK", "done"), "done"}, {STREAM_PATH, late, "0\r\n\r\n"}
        };
    }

    /** Guards against an answer that is given up for a server that cannot even be reached. */
    @Test(dataProvider = "kinds")
    public void answerIsNotEndedForServerThatIsNotConnected(String path, Script late, String end)
            throws IOException {
        first().setScripts(head -> late);
        List<Socket> backlog = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fillBacklog(full, backlog);
            announce(full.getLocalPort());
            assertThat(call(path)).startsWith("HTTP/1.1 200").endsWith(end);
            assertThat(first().arrivals()).isEqualTo(1);
        } finally {
            for (Socket socket : backlog) {
                socket.close();
            }
        }
    }

    /** Connects until the server, which accepts nothing, answers no more connects. */
    private static void fillBacklog(ServerSocket server, List<Socket> backlog) throws IOException {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
        while (true) {
            Socket socket = new Socket();
            backlog.add(socket);
            try {
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Guards against a stream that is given up for a server which has sent no event of it. */
    @Test
    public void commentOfSecondServerDoesNotEndStream() throws IOException {
        String comment = "e\r\n: keep-alive\n\n\r\n";
        first().setScripts(head -> pausedStream(1_400));
        second().setScripts(
                        head ->
                                new Script(
                                        List.of(
                                                new Part(0, head("200 OK", ID, CHUNKED) + comment),
                                                new Part(100, "")),
                                        true));
        assertThat(ids(call(STREAM_PATH))).isEqualTo(idsUpTo(5));
    }

    /** Guards against a stream that a second server ends although it has sent no event of it. */
    @Test
    public void closeOfSecondServerWithoutEventDoesNotEndStream() throws IOException {
        String eventStream = "Content-Type: text/event-stream";
        first().setScripts(head -> pausedStream(1_400));
        second().setScripts(
                        head ->
                                new Script(
                                        List.of(new Part(0, head("200 OK", ID, eventStream))),
                                        true));
        assertThat(ids(call(STREAM_PATH))).isEqualTo(idsUpTo(5));
    }

    /** Guards against a refusal to one call that counts as work on the others. */
    @Test
    public void refusalToOtherCallDoesNotEndPausedStream() throws IOException {
        String refusal = "503 Service Unavailable";
        String notRun = "Content-Length: 0\r\nX-Not-Run: 1";
        first().setScripts(
                        head ->
                                head.contains(UNSAFE_PATH)
                                        ? new Script(
                                                List.of(
                                                        new Part(
                                                                1_100,
                                                                head(refusal, "call-2", notRun))),
                                                false)
                                        : pausedStream(1_750));
        second().setScripts(head -> new Script(List.of(new Part(1_500, "")), true));
        try (Socket stream = send(STREAM_PATH, ID);
                Socket other = send(UNSAFE_PATH, "call-2")) {
            assertThat(ids(readAll(stream))).isEqualTo(idsUpTo(5));
            assertThat(first().arrivals()).isEqualTo(2);
        }
    }

    /** Guards against a caller that reads slowly and is taken for a silent server. */
    @Test
    public void streamIsNotSentAgainWhileItsCallerReadsNothing() throws Exception {
        int count = 200;
        String data = "a".repeat(50_000);
        StringBuilder bytes = new StringBuilder(head("200 OK", ID, CHUNKED));
        for (int id = 1; id <= count; id++) {
            bytes.append(event(id, data));
        }
        bytes.append("0\r\n\r\n");
        first().setScripts(head -> new Script(List.of(new Part(0, bytes.toString())), false));
        second().setScripts(head -> SILENCE);
        try (Socket stream = send(STREAM_PATH, ID)) {
            Thread.sleep(2_000);
            assertThat(second().arrivals()).isZero();
            assertThat(ids(readAll(stream))).isEqualTo(idsUpTo(count));
        }
    }
}
