package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * Passes the events of a stream on to the caller, across attempts.
 *
 * <p>Invariants: only whole events are passed on; each id at most once and in rising order; the
 * head is that of the first server that sent an event. Confined to the traffic thread.
 */
final class StreamRelay {
    private final CallerResponse mAnswer;
    private EventStreamReader mReader = new EventStreamReader();
    private Optional<String> mLastId;
    private boolean mBegun;

    /**
     * @param lastId last event that the caller has
     */
    StreamRelay(CallerResponse answer, Optional<String> lastId) {
        mAnswer = answer;
        mLastId = lastId;
    }

    /** Passes the whole events in a part of the body on; returns how many. */
    int feed(HttpResponseStatus status, HttpHeaders headers, ByteBuf part) {
        mReader.feed(part);
        int passed = 0;
        Optional<EventStreamReader.Event> event = mReader.next();
        while (event.isPresent()) {
            passed += pass(status, headers, event.get()) ? 1 : 0;
            event = mReader.next();
        }
        return passed;
    }

    private boolean pass(
            HttpResponseStatus status, HttpHeaders headers, EventStreamReader.Event event) {
        if (event.id().isPresent() && isOld(event.id().get())) {
            return false;
        }
        ensureHeadSent(status, headers);
        mLastId = event.id().or(() -> mLastId);
        mAnswer.sendPart(event.bytes());
        return true;
    }

    private boolean isOld(String id) {
        try {
            return mBegun
                    && mLastId.isPresent()
                    && Long.parseLong(id) <= Long.parseLong(mLastId.get());
        } catch (NumberFormatException e) {
            // Ids that are no numbers cannot be compared; the server says where it goes on.
            return false;
        }
    }

    /** Writes the head, if that was not done. */
    void ensureHeadSent(HttpResponseStatus status, HttpHeaders headers) {
        if (!mBegun) {
            mBegun = true;
            mAnswer.sendHead(status, headers);
        }
    }

    /** Whether the caller has got a part of the answer. */
    boolean hasBegun() {
        return mBegun;
    }

    /** Whether it is known where another server would have to go on. */
    boolean canResume() {
        return mLastId.isPresent();
    }

    /** Last event that the caller has. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Whether an event has begun that is not whole. */
    boolean hasPartial() {
        return mReader.hasPartial();
    }

    /** Forgets an event that broke off. */
    void dropPartial() {
        mReader = new EventStreamReader();
    }

    void end() {
        mAnswer.end();
    }
}
