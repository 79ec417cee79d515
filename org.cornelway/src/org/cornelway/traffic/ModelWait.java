package org.cornelway.traffic;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * The wait of one call for a server that holds its model.
 *
 * <p>Invariant: at most one request for the model is outstanding. Confined to the traffic thread;
 * lives as long as its call.
 */
final class ModelWait {
    /**
     * A waiting call is refused this long before its caller abandons it, so that the refusal
     * reaches the caller and states when to retry.
     */
    private static final long REFUSAL_LEAD_MILLIS = 200;

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final SendHistory mHistory;
    private Optional<ServerIncarnation> mNotHeldBy = Optional.empty();
    private Optional<Deadline> mDeadline = Optional.empty();
    private boolean mRequested;

    ModelWait(TrafficContext context, CallerRequest request, SendHistory history) {
        mContext = context;
        mRequest = request;
        mHistory = history;
    }

    /** Whether the call waits for a model now. */
    boolean isWaiting() {
        return mDeadline.isPresent();
    }

    /** Whether the call has requested its model, now or earlier. */
    boolean wasRequested() {
        return mRequested;
    }

    /** Records a server that does not serve the model although it was expected to hold it. */
    void recordNotHeldBy(ServerIncarnation incarnation) {
        mNotHeldBy = Optional.of(incarnation);
    }

    /**
     * Requests the model, unless the call waits for it already.
     *
     * @param service service that the call is routed to
     * @param callDeadline deadline of the call
     * @param streamBegun whether the caller has received a part of the response
     * @param tooLate called if the model cannot be available in time, with the expected number of
     *     milliseconds until it is
     */
    void request(
            String service,
            CallTerms terms,
            Deadline callDeadline,
            boolean streamBegun,
            LongConsumer tooLate) {
        if (isWaiting()) {
            return;
        }
        Deadline deadline = earlier(callDeadline, abandonment(terms.route(), streamBegun));
        mDeadline = Optional.of(deadline);
        mRequested = true;
        mContext.modelRequester()
                .requestModel(
                        new ModelRequester.Request(
                                service,
                                mRequest.head().target().orElseThrow(),
                                deadline,
                                terms.priority(),
                                terms.route().targetLatencyMillis(),
                                terms.objective(),
                                mNotHeldBy),
                        tooLate);
    }

    /** Returns when the caller abandons a stream from which it receives nothing more. */
    private Deadline abandonment(Route route, boolean streamBegun) {
        long fromMillis = streamBegun ? mContext.clock().nowMillis() : mRequest.arrivedMillis();
        return Deadline.after(fromMillis, route.streamSilenceTimeoutMillis());
    }

    private static Deadline earlier(Deadline first, Deadline second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** Whether the call still waits so shortly before the end that it must be refused now. */
    boolean mustRefuse(long nowMillis) {
        return mDeadline
                .map(deadline -> deadline.minus(REFUSAL_LEAD_MILLIS).isPast(nowMillis))
                .orElse(false);
    }

    /** Ends the wait; the call can be sent. */
    void end() {
        mDeadline = Optional.empty();
    }
}
