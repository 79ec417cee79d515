package org.cornelway.traffic;

import java.util.Locale;

/**
 * What a caller makes of the bytes that it read until the connection was closed. Immutable.
 *
 * @param status status of the response; 0 if its head is incomplete
 * @param signed whether it has the signature of a backend server
 * @param complete whether the response is whole by its framing
 * @param body the bytes of the body that arrived
 * @param extra bytes after the end of the response
 */
record WireResponse(int status, boolean signed, boolean complete, String body, String extra) {
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LINE_BREAK = "\r\n";

    /** Reads one response; of a request with the method HEAD if {@code bodyless}. */
    static WireResponse read(String bytes, boolean bodyless) {
        int end = bytes.indexOf(END_OF_HEAD);
        if (end < 0) {
            return new WireResponse(0, false, false, "", "");
        }
        String head = bytes.substring(0, end + LINE_BREAK.length()).toLowerCase(Locale.ROOT);
        String rest = bytes.substring(end + END_OF_HEAD.length());
        int status = Integer.parseInt(head.split(" ")[1]);
        boolean signed = head.contains("\r\nx-server-stamp:");
        if (bodyless || status == 204 || status == 304) {
            return new WireResponse(status, signed, true, "", rest);
        }
        if (head.contains("\r\ntransfer-encoding: chunked\r\n")) {
            return readChunks(status, signed, rest);
        }
        String name = "\r\ncontent-length: ";
        int at = head.indexOf(name) + name.length();
        int length = Integer.parseInt(head.substring(at, head.indexOf(LINE_BREAK, at)));
        int present = Math.min(length, rest.length());
        return new WireResponse(
                status,
                signed,
                present == length,
                rest.substring(0, present),
                rest.substring(present));
    }

    private static WireResponse readChunks(int status, boolean signed, String rest) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = rest.indexOf(LINE_BREAK, at);
            if (lineEnd < 0) {
                return new WireResponse(status, signed, false, body.toString(), "");
            }
            int length = Integer.parseInt(rest.substring(at, lineEnd), 16);
            int from = lineEnd + LINE_BREAK.length();
            int to = from + length + LINE_BREAK.length();
            if (to > rest.length()) {
                return new WireResponse(status, signed, false, body.toString(), "");
            }
            if (length == 0) {
                return new WireResponse(status, signed, true, body.toString(), rest.substring(to));
            }
            body.append(rest, from, from + length);
            at = to;
        }
    }
}
