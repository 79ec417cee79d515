package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a {@code text/event-stream} body into complete events.
 *
 * <p>Confined to the traffic thread. The format is specified in the WHATWG HTML standard, section
 * 9.2.
 */
final class EventStreamReader {
    /** Longest event that is accepted; engines send events of a few hundred bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] mBuffer = new byte[1_024];
    private int mLength;

    /**
     * An event including the blank line that ends it.
     *
     * @param bytes the event as received
     * @param id the id of the event; empty if it has none
     * @param isComment whether all its lines are comments, as in a keep-alive
     */
    record Event(ByteBuf bytes, Optional<String> id, boolean isComment) {}

    /**
     * Adds a part of the body; {@link #next} then returns the events that it completes.
     *
     * @throws BrokenAnswerException if the part and the incomplete event before it together exceed
     *     {@link #MAX_EVENT_BYTES}
     */
    void feed(ByteBuf part) throws BrokenAnswerException {
        int partLength = part.readableBytes();
        if (mLength + partLength > MAX_EVENT_BYTES) {
            throw new BrokenAnswerException("an event of more than " + MAX_EVENT_BYTES + " bytes");
        }
        if (mLength + partLength > mBuffer.length) {
            byte[] larger = new byte[Math.max(mBuffer.length * 2, mLength + partLength)];
            System.arraycopy(mBuffer, 0, larger, 0, mLength);
            mBuffer = larger;
        }
        part.getBytes(part.readerIndex(), mBuffer, mLength, partLength);
        mLength += partLength;
    }

    /** Removes and returns the next complete event; empty if more bytes are needed. */
    Optional<Event> next() {
        Optional<String> id = Optional.empty();
        boolean onlyComments = true;
        int start = 0;
        while (start < mLength) {
            int end = lineEnd(start);
            if (end < 0) {
                return Optional.empty();
            }
            int length = end - start;
            if (length > 0 && mBuffer[end - 1] == '\r') {
                length--;
            }
            if (length == 0) {
                return Optional.of(removeEvent(end + 1, id, onlyComments));
            }
            onlyComments &= mBuffer[start] == ':';
            if (startsWithId(start, length)) {
                id = Optional.of(value(start + ID_FIELD.length, length - ID_FIELD.length));
            }
            start = end + 1;
        }
        return Optional.empty();
    }

    private int lineEnd(int from) {
        for (int i = from; i < mLength; i++) {
            if (mBuffer[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private boolean startsWithId(int start, int length) {
        if (length < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (mBuffer[start + i] != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the value of a field; one space after the colon is not part of it. */
    private String value(int start, int length) {
        int skipped = length > 0 && mBuffer[start] == ' ' ? 1 : 0;
        return new String(mBuffer, start + skipped, length - skipped, StandardCharsets.UTF_8);
    }

    /** Removes an event from the start of the buffer. */
    private Event removeEvent(int length, Optional<String> id, boolean isComment) {
        ByteBuf bytes = Unpooled.copiedBuffer(mBuffer, 0, length);
        mLength -= length;
        System.arraycopy(mBuffer, length, mBuffer, 0, mLength);
        return new Event(bytes, id, isComment);
    }

    /** Whether the buffer holds an incomplete event. */
    boolean hasPartialEvent() {
        return mLength > 0;
    }
}
