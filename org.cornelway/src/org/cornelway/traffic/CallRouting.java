package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cornelway.result.ResultCode;
import org.cornelway.route.Route;

/** Finds the route and the customer of a call. Stateless. */
final class CallRouting {
    private CallRouting() {}

    /** Returns the terms of a call, or responds to the call and returns empty if it has none. */
    static Optional<CallTerms> findOrRespond(
            TrafficView view, CallerRequest request, CallResponder responder) {
        if (view.routes().isEmpty()) {
            responder.refuse(
                    ResultCode.NOT_CONFIGURED,
                    "no configuration is known yet",
                    CallAdmission.RETRY_AFTER_MILLIS);
            return Optional.empty();
        }
        Optional<Route> route =
                view.routes().get().find(request.head().host(), request.message().uri());
        if (route.isEmpty()) {
            responder.respondLocally(
                    HttpResponseStatus.NOT_FOUND,
                    ResultCode.UNKNOWN_SERVICE,
                    "no route for this host and path",
                    0);
        }
        return route.map(found -> CallTerms.of(request, found, Optional.empty()));
    }
}
