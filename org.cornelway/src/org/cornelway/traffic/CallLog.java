package org.cornelway.traffic;

import java.util.Optional;
import java.util.Set;
import org.cornelway.dispatch.Candidate;
import org.cornelway.route.Route;

/** Writes the lines of one call, and counts how calls end. Confined to the traffic thread. */
final class CallLog {
    /** Ends that are no failure of the system; failures have lines of their own number. */
    private static final Set<String> SERVED = Set.of("answered", "streamed");

    private final TrafficContext mContext;
    private final CallerRequest mRequest;

    CallLog(TrafficContext context, CallerRequest request) {
        mContext = context;
        mRequest = request;
    }

    private String id() {
        return mRequest.head().requestId();
    }

    void sent(int send, Candidate chosen, long remainingMillis) {
        mContext.log()
                .write(
                        "call.sent",
                        "id",
                        id(),
                        "send",
                        send,
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
                        mContext.view().get().version());
    }

    void sendEnded(String server, String outcome, String reason) {
        mContext.log()
                .write(
                        "call.send_ended",
                        "id",
                        id(),
                        "server",
                        server,
                        "outcome",
                        outcome,
                        "reason",
                        reason);
    }

    void done(Optional<Route> route, String how, int status, int sends, String reason) {
        long millis = mContext.clock().nowMillis() - mRequest.arrivedMillis();
        mContext.metrics().counter("calls." + how + "." + status).inc();
        mContext.metrics().histogram("calls.millis").update(millis);
        mContext.log()
                .write(
                        SERVED.contains(how) ? "call.done" : "call.failed",
                        "id",
                        id(),
                        "route",
                        route.map(Route::name).orElse("none"),
                        "model",
                        mRequest.head().target().map(ModelTarget::toString).orElse("-"),
                        "how",
                        how,
                        "status",
                        status,
                        "sends",
                        sends,
                        "ms",
                        millis,
                        "reason",
                        reason.isEmpty() ? "-" : reason);
    }
}
