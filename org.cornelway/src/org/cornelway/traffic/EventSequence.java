package org.cornelway.traffic;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides by their ids which events of a stream are forwarded, and whether another server can
 * continue the stream.
 *
 * <p>Within one answer every event is forwarded, whatever its id: a server sends each event once
 * and in order, so an unexpected id means that the id is wrong, not that the event is a copy. Only
 * the answer of a server that resumes the stream may begin with events that the caller has.
 *
 * <p>Invariant: a stream is resumed only after an id that continues the ids before it by one, so
 * that a wrong id never makes a server skip events. Confined to the traffic thread.
 */
final class EventSequence {
    /** Most digits of an id; all such numbers fit a {@code long}. */
    private static final int MAX_ID_DIGITS = 18;

    /** Id of the last event that the caller has; empty if it is unknown or not a number. */
    private OptionalLong mLastId;

    private boolean mConsecutive = true;

    /** What is done with an event. */
    enum Verdict {
        /** The caller gets the event. */
        FORWARD,
        /** The caller has the event already. */
        SKIP,
        /** The event does not continue the stream; the answer cannot be used. */
        MISPLACED
    }

    /**
     * @param lastEventId id of the last event that the caller received from an earlier call
     */
    EventSequence(Optional<String> lastEventId) {
        mLastId = parseId(lastEventId);
    }

    private static OptionalLong parseId(Optional<String> id) {
        return id.filter(EventSequence::isNumber)
                .map(text -> OptionalLong.of(Long.parseLong(text)))
                .orElse(OptionalLong.empty());
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_ID_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /**
     * Returns the sequence of one answer.
     *
     * @param resumes whether the server resumes the stream after the last event
     */
    Answer newAnswer(boolean resumes) {
        return new Answer(resumes);
    }

    /** The events of one server's answer. Confined to the traffic thread. */
    final class Answer {
        /** Whether a server resumes the stream and has not sent the next event yet. */
        private boolean mAwaitingNextEvent;

        private Answer(boolean resumes) {
            mAwaitingNextEvent = resumes;
        }

        /** Judges the next event of the answer and records it if it is forwarded. */
        Verdict next(EventStreamReader.Event event) {
            if (event.isComment()) {
                return Verdict.FORWARD;
            }
            OptionalLong id = parseId(event.id());
            if (!mAwaitingNextEvent) {
                mConsecutive &= id.isPresent() && (mLastId.isEmpty() || isNext(id.getAsLong()));
                mLastId = id;
                return Verdict.FORWARD;
            }
            if (id.isEmpty() || id.getAsLong() > mLastId.getAsLong() + 1) {
                return Verdict.MISPLACED;
            }
            if (!isNext(id.getAsLong())) {
                return Verdict.SKIP;
            }
            mAwaitingNextEvent = false;
            mLastId = id;
            return Verdict.FORWARD;
        }
    }

    private boolean isNext(long id) {
        return id == mLastId.getAsLong() + 1;
    }

    /** Id of the event after which another server can continue; empty if the ids do not tell. */
    Optional<String> resumableAfter() {
        return mConsecutive && mLastId.isPresent()
                ? Optional.of(Long.toString(mLastId.getAsLong()))
                : Optional.empty();
    }
}
