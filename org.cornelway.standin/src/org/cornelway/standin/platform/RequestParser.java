package org.cornelway.standin.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Parses the HTTP/1.1 requests of one connection. Bodies need a Content-Length.
 *
 * <p>Confined to the event loop of its connection.
 */
final class RequestParser {
    private final RecordParser mParser;
    private final Consumer<Request> mReceiver;
    private final Map<String, String> mHeaders = new HashMap<>();
    private String mLine = "";
    private boolean mBodyExpected;

    /**
     * A complete request.
     *
     * @param line the request line
     * @param headers header values by lower-case name
     * @param body the body; empty if the request has none
     */
    record Request(String line, Map<String, String> headers, String body) {}

    private RequestParser(NetSocket socket, Consumer<Request> receiver) {
        mParser = RecordParser.newDelimited("\r\n", socket);
        mReceiver = receiver;
    }

    /** Passes each complete request of a connection to the receiver. */
    static void parse(NetSocket socket, Consumer<Request> receiver) {
        RequestParser parser = new RequestParser(socket, receiver);
        parser.mParser.handler(parser::readPart);
    }

    /** Reads the next part: the request line, a header, the empty line after them, or the body. */
    private void readPart(Buffer part) {
        if (mLine.isEmpty()) {
            mLine = part.toString();
        } else if (mBodyExpected) {
            complete(part.toString());
        } else if (part.length() > 0) {
            String[] header = part.toString().split(": ", 2);
            mHeaders.put(header[0].toLowerCase(Locale.ROOT), header[1]);
        } else {
            int length = Integer.parseInt(mHeaders.getOrDefault("content-length", "0"));
            mBodyExpected = length > 0;
            if (mBodyExpected) {
                mParser.fixedSizeMode(length);
            } else {
                complete("");
            }
        }
    }

    /** Prepares for the next request on the connection and passes this one on. */
    private void complete(String body) {
        mParser.delimitedMode("\r\n");
        Request request = new Request(mLine, Map.copyOf(mHeaders), body);
        mLine = "";
        mHeaders.clear();
        mBodyExpected = false;
        mReceiver.accept(request);
    }
}
