package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.traffic.CutAnswer.Framing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what a caller gets if the server's answer is cut after each of its bytes: never a success
 * that looks whole and is not, and never a promise that the call has not run without proof.
 */
public class CutAnswerTest extends EntryTestBase {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final long PAUSE_MILLIS = 3;
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String BODY = "{\"a\":1}";

    private static List<CutAnswer> answers() {
        List<CutAnswer> answers = new ArrayList<>();
        for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKS, Framing.CLOSE)) {
            for (int status : new int[] {200, 404, 500, UNAVAILABLE}) {
                answers.add(CutAnswer.of("POST", UNSAFE_PATH, status, framing, BODY));
            }
            answers.add(CutAnswer.of("HEAD", UNSAFE_PATH, 200, framing, BODY));
            answers.add(CutAnswer.of("HEAD", STREAM_PATH, 200, framing, EVENTS));
            answers.add(CutAnswer.of("POST", STREAM_PATH, 200, framing, EVENTS));
            answers.add(CutAnswer.of("POST", STREAM_PATH, 500, framing, BODY));
            answers.add(CutAnswer.afterInterim("POST", UNSAFE_PATH, 200, framing, BODY));
            answers.add(CutAnswer.afterInterim("POST", STREAM_PATH, 200, framing, EVENTS));
        }
        answers.add(CutAnswer.of("POST", UNSAFE_PATH, 204, Framing.NO_BODY, ""));
        return answers;
    }

    @DataProvider
    public Object[][] cuts() {
        List<Object[]> cuts = new ArrayList<>();
        for (CutAnswer answer : answers()) {
            for (Close close : List.of(Close.FIN, Close.RESET)) {
                cuts.add(new Object[] {answer, close, 0L, false});
                cuts.add(new Object[] {answer, close, 0L, true});
            }
            boolean isPlain = answer.status() == 200 && !answer.bodyless();
            if (isPlain && !answer.bytes().contains(" 103 ")) {
                cuts.add(new Object[] {answer, Close.FIN, PAUSE_MILLIS, true});
                cuts.add(new Object[] {answer, Close.RESET, PAUSE_MILLIS, true});
            }
        }
        return cuts.toArray(Object[][]::new);
    }

    /** Guards against a part of an answer that the caller takes for the whole. */
    @Test(dataProvider = "cuts")
    public void cutAnswerIsNotTakenForWhole(
            CutAnswer answer, Close close, long pauseMillis, boolean keptConnection)
            throws IOException {
        for (int cut = 0; cut <= answer.bytes().length(); cut++) {
            announceServer();
            if (keptConnection) {
                openKeptConnection();
            }
            server().setAnswer(
                            new ScriptedServer.Answer(
                                    answer.bytes().substring(0, cut), close, pauseMillis));
            String received = callUntilClose(answer.method(), answer.path());
            assertThat(server().firstRequestNumber()).isEqualTo(keptConnection ? 2 : 1);
            assertAllowed(answer, close, cut, received);
        }
    }

    /** Leaves an idle connection on which one request was answered, and which is used next. */
    private void openKeptConnection() throws IOException {
        CutAnswer whole = CutAnswer.of("POST", UNSAFE_PATH, 200, Framing.LENGTH, BODY);
        server().setAnswer(new ScriptedServer.Answer(whole.bytes(), Close.NONE, 0));
        assertThat(callUntilClose(whole.method(), whole.path())).endsWith(BODY);
    }

    private static void assertAllowed(CutAnswer answer, Close close, int cut, String received) {
        WireResponse response = WireResponse.read(received, answer.bodyless());
        String where = answer + ", " + close + " after byte " + cut + ": " + received;
        assertThat(response.extra()).as(where).isEmpty();
        boolean whole = answer.isWhole(cut, close);
        if (whole && close == Close.FIN) {
            assertForwarded(answer, cut, response, where);
        } else if (!whole || !isForwarded(answer, response)) {
            // A reset may overtake the end of an answer that was whole.
            assertBroken(answer, response, where);
        }
    }

    private static boolean isForwarded(CutAnswer answer, WireResponse response) {
        return response.complete()
                && response.status() == answer.status()
                && (response.status() == UNAVAILABLE || response.body().equals(answer.body()));
    }

    private static void assertForwarded(
            CutAnswer answer, int cut, WireResponse response, String where) {
        assertThat(response.complete()).as(where).isTrue();
        assertThat(response.status()).as(where).isEqualTo(answer.status());
        if (answer.status() != UNAVAILABLE) {
            assertThat(response.signed()).as(where).isTrue();
            assertThat(response.body()).as(where).isEqualTo(answer.bodyBefore(cut));
        }
    }

    private static void assertBroken(CutAnswer answer, WireResponse response, String where) {
        if (response.complete()) {
            assertThat(response.status()).as(where).isEqualTo(BAD_GATEWAY);
            assertThat(response.signed()).as(where).isFalse();
        } else {
            assertThat(answer.isStream()).as(where).isTrue();
            assertThat(answer.body()).as(where).startsWith(response.body());
        }
    }
}
