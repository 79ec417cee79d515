package org.cornelway.traffic;

import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * The deadline of one call: the earlier of its caller's and its route's. Follows changes of the
 * route's timeout, which also apply to calls in progress. Confined to the traffic thread.
 */
final class CallDeadline {
    private final CallerRequest mRequest;
    private Deadline mDeadline;

    /** Version of the configuration that was applied last. */
    private long mVersion;

    CallDeadline(CallerRequest request) {
        mRequest = request;
        mDeadline = request.callerDeadline();
    }

    Deadline get() {
        return mDeadline;
    }

    /** Applies the timeout of the call's route. */
    void apply(Route route, long version) {
        mVersion = version;
        Deadline routeDeadline = Deadline.after(mRequest.arrivedMillis(), route.timeoutMillis());
        Deadline callerDeadline = mRequest.callerDeadline();
        mDeadline = routeDeadline.compareTo(callerDeadline) < 0 ? routeDeadline : callerDeadline;
    }

    /** Applies the timeout that a newer configuration has for the route, if it has the route. */
    void refresh(Route route, TrafficView view) {
        long version = view.configurationVersion();
        if (version != mVersion) {
            mVersion = version;
            view.route(route.name()).ifPresent(current -> apply(current, version));
        }
    }
}
