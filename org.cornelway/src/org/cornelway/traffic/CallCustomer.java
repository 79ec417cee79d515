package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.cornelway.route.Customer;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;

/**
 * The customer of one call. Follows the configuration: a key that is removed while the call waits
 * or runs ends the right to send it, but ends no send that has begun. Confined to the traffic
 * thread; lives as long as its call.
 */
final class CallCustomer {
    private static final String CALLS = "customers.calls.";
    private static final String COUNTED = "customers.counted";

    /** Largest number of customers with a counter of their own; keeps the registry bounded. */
    static final int MAX_COUNTED = 200;

    /** Name under which the calls of all further customers are counted. */
    static final String OTHERS = "(others)";

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final CallLog mLog;
    private CustomerPolicy.Decision.Accepted mAccepted =
            new CustomerPolicy.Decision.Accepted(Optional.empty(), CallIdentity.UNCHANGED);

    /** The configuration that was checked last. */
    private Optional<RouteTable> mChecked = Optional.empty();

    /** Whether it allows the call to be sent. */
    private boolean mMaySend = true;

    CallCustomer(TrafficContext context, CallerRequest request, CallLog log) {
        mContext = context;
        mRequest = request;
        mLog = log;
    }

    /** Returns why the call is refused on its arrival; empty if it is accepted. */
    Optional<CustomerPolicy.Refusal> reasonToRefuse(RouteTable routes, Route route) {
        CustomerPolicy.Decision decision =
                CustomerPolicy.onArrival(routes, route.isPublic(), mRequest.head().customerKey());
        apply(routes, decision);
        if (decision instanceof CustomerPolicy.Decision.Refused refused) {
            recordRefusal(refused.refusal());
            return Optional.of(refused.refusal());
        }
        get().map(Customer::name).ifPresent(name -> count(mContext.metrics(), name));
        return Optional.empty();
    }

    /** Returns the customer; empty if the call belongs to none. */
    Optional<Customer> get() {
        return mAccepted.customer();
    }

    /** Returns what a server is told of the customer if the call is sent now. */
    CallIdentity identity() {
        return mAccepted.identity();
    }

    /**
     * Whether the call may be sent now, by the newest configuration.
     *
     * @param route the route that the call was accepted on
     */
    boolean maySend(Route route) {
        Optional<RouteTable> newest = mContext.view().get().routes();
        if (newest.isPresent() && !isChecked(newest.get())) {
            RouteTable routes = newest.get();
            apply(
                    routes,
                    CustomerPolicy.beforeSend(
                            routes,
                            isPublic(routes, route),
                            mRequest.head().customerKey(),
                            mAccepted));
        }
        return mMaySend;
    }

    private boolean isChecked(RouteTable routes) {
        return mChecked.filter(checked -> checked == routes).isPresent();
    }

    private void apply(RouteTable routes, CustomerPolicy.Decision decision) {
        mChecked = Optional.of(routes);
        mMaySend = decision instanceof CustomerPolicy.Decision.Accepted;
        if (decision instanceof CustomerPolicy.Decision.Accepted accepted) {
            mAccepted = accepted;
            get().map(Customer::name).ifPresent(mLog::setCustomer);
        }
    }

    /**
     * Whether a route needs no key now; one that another has replaced, only if neither needs it.
     */
    private boolean isPublic(RouteTable routes, Route accepted) {
        return routes.find(mRequest.head().host(), mRequest.message().uri())
                .map(
                        now ->
                                now.isPublic()
                                        && (accepted.isPublic()
                                                || now.name().equals(accepted.name())))
                .orElse(accepted.isPublic());
    }

    /** Counts a call that ends because of its key. */
    void recordRefusal(CustomerPolicy.Refusal refusal) {
        mContext.metrics().counter("customers.refused." + refusal.id()).inc();
    }

    /** Counts a call of a customer. */
    static void count(MetricRegistry metrics, String customer) {
        String name = CALLS + customer;
        if (!metrics.getMetrics().containsKey(name)) {
            if (metrics.counter(COUNTED).getCount() < MAX_COUNTED) {
                metrics.counter(COUNTED).inc();
            } else {
                name = CALLS + OTHERS;
            }
        }
        metrics.counter(name).inc();
    }
}
