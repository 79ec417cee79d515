package org.cornelway.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import org.cornelway.route.CallKind;
import org.cornelway.route.Route;
import org.cornelway.time.Clock;

/**
 * How far the answer to one attempt has got, and how long the server has been silent. Confined to
 * the traffic thread.
 */
final class AnswerProgress {
    /**
     * Time without data from the server after which a call of kind {@link CallKind#SAFE} is sent to
     * another server. Nearly all such calls complete sooner.
     */
    private static final long SAFE_STALL_MILLIS = 450;

    /**
     * Time without data from the server after which a stream that may be repeated is sent to
     * another server, if it has no event yet or its route has no objective for the pause between
     * events.
     */
    private static final long FIRST_EVENT_STALL_MILLIS = 1_500;

    /**
     * A stream that has begun is sent to another server after a pause of this many times its
     * route's objective for the pause between events.
     */
    private static final long STALL_GAP_MULTIPLE = 5;

    /** Number of events from which an answer is past its beginning. */
    private static final int EVENTS_PAST_BEGINNING = 2;

    private final Clock mClock;

    /**
     * When the server last sent a head, an event or a part of a body; before that, when the call
     * was sent. The bytes of an incomplete event do not count, since a stalled server may send
     * some.
     */
    private long mLastMillis;

    private Optional<Long> mFirstEventMillis = Optional.empty();
    private int mEvents;

    /** Whether this process does not read from the server, since the caller does not keep up. */
    private boolean mReadingPaused;

    AnswerProgress(Clock clock) {
        mClock = clock;
        mLastMillis = clock.nowMillis();
    }

    /** Records that the call was sent, or that the server sent a head or a part of a body. */
    void record() {
        mLastMillis = mClock.nowMillis();
    }

    /**
     * Records that the server sent events.
     *
     * @return whether the answer got past its beginning with them
     */
    boolean recordEvents(int count) {
        boolean wasPastBeginning = isPastBeginning();
        record();
        mEvents += count;
        mFirstEventMillis = mFirstEventMillis.or(() -> Optional.of(mLastMillis));
        return !wasPastBeginning && isPastBeginning();
    }

    /** Whether the server has sent more than the first event of a stream. */
    boolean isPastBeginning() {
        return mEvents >= EVENTS_PAST_BEGINNING;
    }

    /**
     * Time since the last event; empty if there is none yet, or if reading from the server is
     * paused.
     */
    OptionalLong sinceEventMillis() {
        return mEvents == 0 || mReadingPaused
                ? OptionalLong.empty()
                : OptionalLong.of(silentMillis());
    }

    /** Time since the first event of the stream; empty if there is none yet. */
    Optional<Long> streamingMillis() {
        return mFirstEventMillis.map(first -> mClock.nowMillis() - first);
    }

    /** Records that reading from the server pauses or resumes. */
    void setReadingPaused(boolean paused) {
        if (mReadingPaused && !paused) {
            record();
        }
        mReadingPaused = paused;
    }

    /** Whether reading from the server is paused. */
    boolean isReadingPaused() {
        return mReadingPaused;
    }

    /** Time for which the server has sent nothing; 0 while reading from it is paused. */
    long silentMillis() {
        return mReadingPaused ? 0 : mClock.nowMillis() - mLastMillis;
    }

    /**
     * Whether the server counts as silent. If it has failed recently, it does so after half the
     * usual time.
     *
     * @param begun whether the caller has received a part of the stream
     * @param lateMillis how late the traffic thread is, which may be a part of the silence
     */
    boolean isStalled(Route route, boolean begun, boolean hasRecentFailure, long lateMillis) {
        return silentMillis() - lateMillis
                > stallLimitMillis(route, begun) / (hasRecentFailure ? 2 : 1);
    }

    private static long stallLimitMillis(Route route, boolean begun) {
        if (route.kind() == CallKind.SAFE) {
            return SAFE_STALL_MILLIS;
        }
        return begun && route.targetGapMillis() > 0
                ? STALL_GAP_MULTIPLE * route.targetGapMillis()
                : FIRST_EVENT_STALL_MILLIS;
    }
}
