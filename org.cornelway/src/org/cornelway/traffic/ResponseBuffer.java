package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/**
 * What is kept of one response: its body until it is complete, and the memory of its headers and of
 * an incomplete event.
 *
 * <p>Invariant: all of it is part of the share until {@link #release}. Confined to the traffic
 * thread.
 */
final class ResponseBuffer {
    /** Longest response that is buffered; its first byte is sent after its last has arrived. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Memory of the objects of one header, without its characters. */
    private static final int HEADER_OBJECT_BYTES = 150;

    private final ResponseMemory.Share mShare;
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private long mHeadBytes;

    ResponseBuffer(ResponseMemory.Share share) {
        mShare = share;
    }

    /** Returns the body received so far. */
    ByteBuf body() {
        return mBody;
    }

    /** Records the memory of the headers; returns false if there is none for them. */
    boolean recordHead(HttpHeaders headers) {
        mHeadBytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence();
        while (all.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = all.next();
            mHeadBytes +=
                    HEADER_OBJECT_BYTES + header.getKey().length() + header.getValue().length();
        }
        return mShare.resize(mHeadBytes);
    }

    /**
     * Adds a part of the body.
     *
     * @throws BrokenAnswerException if the body is too long or there is no memory for it
     */
    void append(ByteBuf part) throws BrokenAnswerException {
        if (mBody.readableBytes() + part.readableBytes() > MAX_BODY_BYTES) {
            throw new BrokenAnswerException("an answer of more than " + MAX_BODY_BYTES + " bytes");
        }
        if (!mBody.isReadable()) {
            mBody = Unpooled.buffer(part.readableBytes());
        }
        mBody.writeBytes(part, part.readerIndex(), part.readableBytes());
        resize(mBody.capacity());
    }

    /**
     * Records the memory of an incomplete event.
     *
     * @throws BrokenAnswerException if there is no memory for it
     */
    void recordEventBuffer(int bytes) throws BrokenAnswerException {
        resize(bytes);
    }

    private void resize(long bodyBytes) throws BrokenAnswerException {
        if (!mShare.resize(mHeadBytes + bodyBytes)) {
            throw new BrokenAnswerException("no memory for more of the answer");
        }
    }

    /** Gives up the memory, since the response has ended; {@link #body} remains valid. */
    void release() {
        mShare.release();
    }
}
