package org.cornelway.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.dispatch.Candidate;
import org.cornelway.route.Route;

/**
 * Writes the log events of one call and counts calls by outcome. Confined to the traffic thread.
 */
final class CallLog {
    /**
     * Outcomes logged as {@code call.done}. All others are logged as {@code call.failed}, an event
     * with a rate limit of its own, so that a flood of successful calls does not suppress failures.
     */
    private static final Set<String> SUCCESS_OUTCOMES = Set.of("answered", "streamed");

    private final TrafficContext mContext;
    private final CallerRequest mRequest;

    /** The connection that the call was last sent on and its number there; "-" before. */
    private String mConnection = "-";

    /** The server and the status of the last head of a response; "-" if there is none. */
    private String mResponder = "-";

    /** Name of the customer of the call; empty if it belongs to none. */
    private Optional<String> mCustomer = Optional.empty();

    CallLog(TrafficContext context, CallerRequest request) {
        mContext = context;
        mRequest = request;
    }

    private String requestId() {
        return mRequest.head().requestId();
    }

    /** Logs that the call is sent to a server, with the load data that the choice was based on. */
    void logSend(int sendNumber, Candidate chosen, long remainingMillis) {
        mContext.log()
                .write(
                        "call.sent",
                        "id",
                        requestId(),
                        "send",
                        sendNumber,
                        "server",
                        chosen.server().id(),
                        "in_flight",
                        chosen.inFlight(),
                        "reported",
                        chosen.reportedRequests(),
                        "slowness",
                        chosen.slowness(),
                        "suspect",
                        chosen.suspect(),
                        "left_ms",
                        remainingMillis,
                        "config",
                        mContext.view().get().configurationVersion());
    }

    /** Sets the name of the customer with which the end of the call is logged. */
    void setCustomer(String name) {
        mCustomer = Optional.of(name);
    }

    /** Records the connection that the call is sent on. */
    void recordConnection(UpstreamConnection connection) {
        mConnection = connection.label();
        mResponder = "-";
    }

    /** Records that the head of the response has arrived. */
    void recordHead(String server, int status) {
        mResponder = server + ":" + status;
    }

    /** Logs that a server is silent, so that the call is sent to another one beside it. */
    void logSilent(String server, long silentMillis) {
        mContext.metrics().counter("hedges.sent").inc();
        mContext.log()
                .write(
                        "call.silent",
                        "id",
                        requestId(),
                        "server",
                        server,
                        "silent_ms",
                        silentMillis);
    }

    /** Counts a call whose hedge went on before the silent server. */
    void countHedgeWon() {
        mContext.metrics().counter("hedges.won").inc();
    }

    /** Logs that a send failed; the call may be sent again. */
    void logSendFailed(String server, String outcome, String reason) {
        mContext.log()
                .write(
                        "call.send_ended",
                        "id",
                        requestId(),
                        "server",
                        server,
                        "outcome",
                        outcome,
                        "connection",
                        mConnection,
                        "reason",
                        reason);
    }

    /** Logs the parts of the prompt that are suspected of having crashed a server, if any. */
    void logSuspected(String server, List<String> parts) {
        if (!parts.isEmpty()) {
            mContext.log()
                    .write("prompt.suspected", "id", requestId(), "server", server, "parts", parts);
        }
    }

    /** Logs the end of the call and counts it by outcome and status. */
    void recordEnd(Optional<Route> route, String outcome, int status, int sends, String reason) {
        long millis = mContext.clock().nowMillis() - mRequest.arrivedMillis();
        mContext.metrics().counter("calls." + outcome + "." + status).inc();
        mContext.metrics().histogram("calls.millis").update(millis);
        List<Object> fields =
                new ArrayList<>(
                        List.of(
                                "id",
                                requestId(),
                                "route",
                                route.map(Route::name).orElse("none"),
                                "model",
                                mRequest.head().target().map(ModelTarget::toString).orElse("-"),
                                "how",
                                outcome,
                                "status",
                                status,
                                "sends",
                                sends,
                                "connection",
                                mConnection));
        fields.addAll(List.of("response", mResponder, "ms", millis));
        fields.addAll(List.of("reason", reason.isEmpty() ? "-" : reason));
        mCustomer.ifPresent(name -> fields.addAll(List.of("customer", name)));
        boolean succeeded = SUCCESS_OUTCOMES.contains(outcome);
        mContext.log().write(succeeded ? "call.done" : "call.failed", fields.toArray());
    }
}
