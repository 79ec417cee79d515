package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * Forwards the events of a stream to the caller, across all attempts of the call.
 *
 * <p>Invariants: only complete events are forwarded; numeric ids are forwarded in strictly
 * ascending order, each at most once; the head is that of the first server that sent an event.
 * Confined to the traffic thread.
 */
final class StreamRelay {
    private final CallerResponse mResponse;
    private EventStreamReader mReader = new EventStreamReader();
    private Optional<String> mLastEventId;
    private boolean mHeadSent;

    /**
     * @param lastEventId id of the last event that the caller received earlier; empty if it does
     *     not resume a stream
     */
    StreamRelay(CallerResponse response, Optional<String> lastEventId) {
        mResponse = response;
        mLastEventId = lastEventId;
    }

    /**
     * Reads the next part of a server's response body and forwards each event that is now complete;
     * skips events that were already forwarded.
     *
     * @return the number of events forwarded
     * @throws IllegalStateException if an event is too long
     */
    int feed(HttpResponseStatus status, HttpHeaders headers, ByteBuf part) {
        mReader.feed(part);
        int forwarded = 0;
        Optional<EventStreamReader.Event> event = mReader.next();
        while (event.isPresent()) {
            forwarded += forwardIfNew(status, headers, event.get()) ? 1 : 0;
            event = mReader.next();
        }
        return forwarded;
    }

    private boolean forwardIfNew(
            HttpResponseStatus status, HttpHeaders headers, EventStreamReader.Event event) {
        if (event.id().isPresent() && isAlreadySent(event.id().get())) {
            return false;
        }
        ensureHeadSent(status, headers);
        mLastEventId = event.id().or(() -> mLastEventId);
        mResponse.sendPart(event.bytes());
        return true;
    }

    private boolean isAlreadySent(String id) {
        try {
            return mHeadSent
                    && mLastEventId.isPresent()
                    && Long.parseLong(id) <= Long.parseLong(mLastEventId.get());
        } catch (NumberFormatException e) {
            // Ids that are not numbers cannot be compared; the server decides where it resumes.
            return false;
        }
    }

    /** Sends the head unless it was already sent. */
    void ensureHeadSent(HttpResponseStatus status, HttpHeaders headers) {
        if (!mHeadSent) {
            mHeadSent = true;
            mResponse.sendHead(status, headers);
        }
    }

    /** Whether the head of the response was sent to the caller. */
    boolean isHeadSent() {
        return mHeadSent;
    }

    /** Whether another server can resume the stream: the id of the last event is known. */
    boolean canResume() {
        return mLastEventId.isPresent();
    }

    /** Id of the last event that was forwarded, or that the caller received earlier, if any. */
    Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Whether an incomplete event was received. */
    boolean hasPartialEvent() {
        return mReader.hasPartialEvent();
    }

    /** Discards an incomplete event. */
    void dropPartialEvent() {
        mReader = new EventStreamReader();
    }

    /** Ends the response to the caller. */
    void end() {
        mResponse.end();
    }
}
