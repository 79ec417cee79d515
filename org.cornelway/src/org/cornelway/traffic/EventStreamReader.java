package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a {@code text/event-stream} body into complete events.
 *
 * <p>Invariants: {@code mEventStart <= mLineStart <= mScanned <= mLength}; no byte before {@code
 * mScanned} is examined again, so that the work is linear in the length of the body, however it is
 * divided into parts. Confined to the traffic thread. The format is specified in the WHATWG HTML
 * standard, section 9.2.
 */
final class EventStreamReader {
    /** Longest event that is accepted; engines send events of a few hundred bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] mBuffer = new byte[1_024];
    private int mLength;

    /** Where the incomplete event starts in the buffer. */
    private int mEventStart;

    /** Where the incomplete line of that event starts. */
    private int mLineStart;

    /** Up to where the buffer was searched for the end of a line. */
    private int mScanned;

    private Optional<String> mId = Optional.empty();
    private boolean mOnlyComments = true;

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
        if (mLength - mEventStart + partLength > MAX_EVENT_BYTES) {
            throw new BrokenAnswerException("an event of more than " + MAX_EVENT_BYTES + " bytes");
        }
        discardReturnedEvents();
        if (mLength + partLength > mBuffer.length) {
            mBuffer = Arrays.copyOf(mBuffer, Math.max(mBuffer.length * 2, mLength + partLength));
        }
        part.getBytes(part.readerIndex(), mBuffer, mLength, partLength);
        mLength += partLength;
    }

    /**
     * Moves the incomplete event to the start of the buffer. It is part of what the last call of
     * {@link #feed} has added, so each byte is moved at most once.
     */
    private void discardReturnedEvents() {
        if (mEventStart > 0) {
            System.arraycopy(mBuffer, mEventStart, mBuffer, 0, mLength - mEventStart);
            mLength -= mEventStart;
            mLineStart -= mEventStart;
            mScanned -= mEventStart;
            mEventStart = 0;
        }
    }

    /** Removes and returns the next complete event; empty if more bytes are needed. */
    Optional<Event> next() {
        while (mScanned < mLength) {
            int end = mScanned++;
            if (mBuffer[end] != '\n') {
                continue;
            }
            int length = end - mLineStart;
            if (length > 0 && mBuffer[end - 1] == '\r') {
                length--;
            }
            if (length == 0) {
                return Optional.of(removeEvent());
            }
            readLine(mLineStart, length);
            mLineStart = mScanned;
        }
        return Optional.empty();
    }

    private void readLine(int start, int length) {
        mOnlyComments &= mBuffer[start] == ':';
        if (startsWithId(start, length)) {
            mId = Optional.of(value(start + ID_FIELD.length, length - ID_FIELD.length));
        }
    }

    private boolean startsWithId(int start, int length) {
        return length >= ID_FIELD.length
                && Arrays.equals(
                        mBuffer, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }

    /** Returns the value of a field; one space after the colon is not part of it. */
    private String value(int start, int length) {
        int skipped = length > 0 && mBuffer[start] == ' ' ? 1 : 0;
        return new String(mBuffer, start + skipped, length - skipped, StandardCharsets.UTF_8);
    }

    /** Returns the event that ends where the search has got to, and begins the next one there. */
    private Event removeEvent() {
        ByteBuf bytes = Unpooled.copiedBuffer(mBuffer, mEventStart, mScanned - mEventStart);
        Event event = new Event(bytes, mId, mOnlyComments);
        mEventStart = mScanned;
        mLineStart = mScanned;
        mId = Optional.empty();
        mOnlyComments = true;
        return event;
    }

    /** Returns the size of the buffer. */
    int bufferBytes() {
        return mBuffer.length;
    }

    /** Whether the buffer holds an incomplete event. */
    boolean hasPartialEvent() {
        return mLength > mEventStart;
    }
}
