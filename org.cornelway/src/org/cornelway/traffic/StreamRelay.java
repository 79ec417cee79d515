package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Forwards the events of a stream to the caller, across all attempts of the call.
 *
 * <p>Invariants: only complete events are forwarded; {@link EventSequence} decides which; the head
 * is that of the first server that sent an event. Confined to the traffic thread.
 */
final class StreamRelay {
    private final CallerResponse mResponse;
    private final EventSequence mSequence;
    private boolean mHeadSent;

    /**
     * @param lastEventId id of the last event that the caller received earlier; empty if it does
     *     not resume a stream
     */
    StreamRelay(CallerResponse response, Optional<String> lastEventId) {
        mResponse = response;
        mSequence = new EventSequence(lastEventId);
    }

    /**
     * Returns the answer of an attempt that is sent now; it resumes the stream if that has begun.
     * Once one answer has forwarded an event, no event of another one may follow, except of one
     * that was returned later.
     *
     * @param isAlone whether no other answer may still go on; comments are discarded while one may,
     *     since they do not tell which of the two goes on
     * @param onForward called before each event that is forwarded
     */
    Answer newAnswer(BooleanSupplier isAlone, Runnable onForward) {
        return new Answer(isAlone, onForward);
    }

    /** Returns the answer of an attempt as above, if no other one may go on. */
    Answer newAnswer(Runnable onForward) {
        return newAnswer(() -> true, onForward);
    }

    /** One server's answer. Confined to the traffic thread. */
    final class Answer {
        private final EventStreamReader mReader = new EventStreamReader();
        private final EventSequence.Answer mEvents = mSequence.newAnswer(mHeadSent);
        private final BooleanSupplier mIsAlone;
        private final Runnable mOnForward;

        /** Whether an event was forwarded; a comment is none. */
        private boolean mHasNewEvent;

        private Answer(BooleanSupplier isAlone, Runnable onForward) {
            mIsAlone = isAlone;
            mOnForward = onForward;
        }

        /**
         * Reads the next part of the body and forwards each event that is now complete; skips
         * events that the caller has from another server.
         *
         * @return the number of events forwarded
         * @throws BrokenAnswerException if an event is too long or does not continue the stream
         */
        int feed(HttpResponseStatus status, HttpHeaders headers, ByteBuf part)
                throws BrokenAnswerException {
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
                HttpResponseStatus status, HttpHeaders headers, EventStreamReader.Event event)
                throws BrokenAnswerException {
            if (event.isComment() && !mIsAlone.getAsBoolean()) {
                return false;
            }
            switch (mEvents.next(event)) {
                case SKIP:
                    return false;
                case MISPLACED:
                    throw new BrokenAnswerException("event does not continue the resumed stream");
                default:
                    mOnForward.run();
                    mHasNewEvent |= !event.isComment();
                    ensureHeadSent(status, headers);
                    mResponse.sendPart(event.bytes());
                    return true;
            }
        }

        /** Returns the size of the buffer for incomplete events. */
        int bufferBytes() {
            return mReader.bufferBytes();
        }

        /**
         * Returns why the end of this answer is not the end of the stream; empty if it is. The
         * close of a connection alone does not tell that the server has sent all events, or any.
         *
         * @param endsWithClose whether only the close of the connection ends the answer
         */
        Optional<String> reasonIfBroken(boolean endsWithClose) {
            if (mReader.hasPartialEvent()) {
                return Optional.of("ended within an event");
            }
            return endsWithClose && !mHasNewEvent
                    ? Optional.of("closed without a new event")
                    : Optional.empty();
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
        return lastEventId().isPresent();
    }

    /** Id of the event after which another server can resume the stream, if it is known. */
    Optional<String> lastEventId() {
        return mSequence.resumableAfter();
    }

    /** Id of the event after which the next send resumes the stream; empty if none was sent. */
    Optional<String> resumeAfter() {
        return mHeadSent ? lastEventId() : Optional.empty();
    }

    /** Ends the response to the caller. */
    void end() {
        mResponse.end();
    }
}
