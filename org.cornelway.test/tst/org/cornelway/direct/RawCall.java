package org.cornelway.direct;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelway.bench.direct.DirectFleet;

/**
 * A call to an entry on a plain connection, of which the test writes and reads each byte. Used by
 * one thread.
 */
final class RawCall implements AutoCloseable {
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("(?i)\r\ncontent-length: (\\d+)\r\n");

    private final Socket mSocket;
    private final InputStream mIn;

    RawCall(int port, int readTimeoutMillis) throws IOException {
        mSocket = new Socket("127.0.0.1", port);
        mSocket.setSoTimeout(readTimeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /**
     * @param receiveBufferBytes bytes that the caller's side takes in before the test reads them
     */
    RawCall(int port, int readTimeoutMillis, int receiveBufferBytes) throws IOException {
        mSocket = new Socket();
        mSocket.setReceiveBufferSize(receiveBufferBytes);
        mSocket.connect(new InetSocketAddress("127.0.0.1", port));
        mSocket.setSoTimeout(readTimeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /**
     * Sends the head of a POST request.
     *
     * @param headers header lines in addition, each with its line break
     */
    void sendHead(String path, String requestId, String headers) throws IOException {
        send(
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + DirectFleet.HOST
                        + "\r\nX-Request-Id: "
                        + requestId
                        + "\r\n"
                        + headers
                        + "\r\n");
    }

    void send(String text) throws IOException {
        OutputStream out = mSocket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads until the connection is closed or the bytes end with a text. */
    String readUntil(String end) throws IOException {
        StringBuilder bytes = new StringBuilder();
        int next = mIn.read();
        while (next >= 0) {
            bytes.append((char) next);
            boolean isEnd = bytes.indexOf(end, bytes.length() - end.length()) >= 0;
            next = isEnd ? -1 : mIn.read();
        }
        return bytes.toString();
    }

    /** Reads one response; empty if the connection ends before the response is complete. */
    Optional<String> readResponse() {
        try {
            String head = readUntil(END_OF_HEAD);
            Matcher length = CONTENT_LENGTH.matcher(head);
            boolean hasLength = length.find();
            String body =
                    hasLength ? read(Integer.parseInt(length.group(1))) : readUntil(LAST_CHUNK);
            boolean complete = hasLength || body.endsWith(LAST_CHUNK);
            return head.endsWith(END_OF_HEAD) && complete
                    ? Optional.of(head + body)
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private String read(int length) throws IOException {
        byte[] bytes = mIn.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
