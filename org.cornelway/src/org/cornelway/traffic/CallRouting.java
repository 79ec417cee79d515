package org.cornelway.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cornelway.result.ResultCode;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;

/** Finds the route and the customer of a call. Stateless. */
final class CallRouting {
    private CallRouting() {}

    /** Returns the terms of a call, or responds to the call and returns empty if it has none. */
    static Optional<CallTerms> findOrRespond(
            TrafficView view,
            CallerRequest request,
            CallCustomer customer,
            CallResponder responder) {
        if (view.routes().isEmpty()) {
            responder.refuse(
                    ResultCode.NOT_CONFIGURED,
                    "no configuration is known yet",
                    CallAdmission.RETRY_AFTER_MILLIS);
            return Optional.empty();
        }
        RouteTable routes = view.routes().get();
        Optional<Route> route = routes.find(request.head().host(), request.message().uri());
        if (route.isEmpty()) {
            responder.respondLocally(
                    HttpResponseStatus.NOT_FOUND,
                    ResultCode.UNKNOWN_SERVICE,
                    "no route for this host and path",
                    0);
            return Optional.empty();
        }
        Optional<CustomerPolicy.Refusal> refusal = customer.reasonToRefuse(routes, route.get());
        if (refusal.isPresent()) {
            responder.setRoute(route.get());
            responder.refuseKey(refusal.get().reason());
            return Optional.empty();
        }
        return Optional.of(CallTerms.of(request, route.get(), customer.get()));
    }
}
