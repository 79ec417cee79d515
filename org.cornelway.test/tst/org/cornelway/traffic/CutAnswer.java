package org.cornelway.traffic;

import java.util.Locale;
import org.cornelway.ScriptedServer;

/**
 * An answer of a backend server that is cut after each of its bytes. Immutable.
 *
 * @param name name of the case
 * @param method method of the call
 * @param path path of the call
 * @param bytes the whole answer
 * @param status its status
 * @param headBytes length up to the end of its final head
 * @param framing how its body is framed
 * @param body the whole body
 */
record CutAnswer(
        String name,
        String method,
        String path,
        String bytes,
        int status,
        int headBytes,
        Framing framing,
        String body) {
    /** How the end of a body is known. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE,
        NO_BODY
    }

    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    /** Returns an answer with the signature of a server and the id of the call. */
    static CutAnswer of(String method, String path, int status, Framing framing, String body) {
        return create(method, path, status, framing, body, "");
    }

    /** Returns an answer that an interim response precedes. */
    static CutAnswer afterInterim(
            String method, String path, int status, Framing framing, String body) {
        return create(method, path, status, framing, body, INTERIM);
    }

    private static CutAnswer create(
            String method, String path, int status, Framing framing, String body, String before) {
        String head =
                before
                        + "HTTP/1.1 "
                        + status
                        + " S\r\nX-Request-Id: "
                        + EntryTestBase.REQUEST_ID
                        + (status == 503 ? "\r\nX-Not-Run: 1" : "")
                        + "\r\nX-Server-Stamp: s\r\n"
                        + framingHeader(framing, method, body)
                        + "\r\n";
        boolean bodyless = framing == Framing.NO_BODY || method.equals("HEAD");
        String sent = bodyless ? "" : body;
        String name = String.join(" ", method, path, "" + status, framing.toString(), before);
        return new CutAnswer(
                name.strip(),
                method,
                path,
                head + (framing == Framing.CHUNKS && !bodyless ? chunked(sent) : sent),
                status,
                head.length(),
                bodyless ? Framing.NO_BODY : framing,
                sent);
    }

    private static String framingHeader(Framing framing, String method, String body) {
        return switch (framing) {
            case LENGTH -> "Content-Length: " + body.length() + "\r\n";
            case CHUNKS -> "Transfer-Encoding: chunked\r\n";
            case CLOSE, NO_BODY -> "";
        };
    }

    /** Divides a body into two chunks, the first of which ends within a line. */
    private static String chunked(String body) {
        int half = body.length() / 2;
        return chunk(body.substring(0, half)) + chunk(body.substring(half)) + chunk("");
    }

    private static String chunk(String part) {
        return String.format(Locale.ROOT, "%x\r\n%s\r\n", part.length(), part);
    }

    boolean bodyless() {
        return method.equals("HEAD");
    }

    /** The part of the body that may reach the caller if the answer is cut after some bytes. */
    String bodyBefore(int cut) {
        return framing == Framing.CLOSE && cut >= headBytes
                ? bytes.substring(headBytes, cut)
                : body;
    }

    /**
     * Whether the cut cannot be told from the end of an answer: nothing is missing, or the answer
     * has neither a length nor chunks, its head is whole, the connection ended without a reset, and
     * a stream ended behind an event.
     */
    boolean isWhole(int cut, ScriptedServer.Close close) {
        if (cut == bytes.length() && framing != Framing.CLOSE) {
            return true;
        }
        boolean endsWithConnection =
                framing == Framing.CLOSE && cut >= headBytes && close == ScriptedServer.Close.FIN;
        return endsWithConnection && (!isStream() || endsBehindEvent(bodyBefore(cut)));
    }

    boolean isStream() {
        return path.equals(EntryTestBase.STREAM_PATH) && status == 200;
    }

    private static boolean endsBehindEvent(String part) {
        return part.endsWith("\n\n");
    }

    @Override
    public String toString() {
        return name;
    }
}
