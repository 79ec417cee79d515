package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.Customer;
import org.cornelway.route.CustomerKey;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.route.TokenQuota;
import org.cornelway.traffic.CustomerPolicy.Decision;
import org.cornelway.traffic.CustomerPolicy.Refusal;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which calls a customer's key lets through, at arrival and before each send. */
public class CustomerPolicyTest {
    private static final String KEY = "k-secret";
    private static final Optional<CustomerKey> NO_KEY = Optional.empty();
    private static final Decision.Accepted UNCHECKED =
            new Decision.Accepted(Optional.empty(), CallIdentity.UNCHANGED);
    private static final Decision.Accepted PUBLIC =
            new Decision.Accepted(Optional.empty(), new CallIdentity.Customer(Optional.empty()));

    private static Optional<CustomerKey> key(String value) {
        return Optional.of(new CustomerKey(value));
    }

    private static Customer customer(String name, String... keys) {
        Set<CustomerKey> all = Set.copyOf(Arrays.stream(keys).map(CustomerKey::new).toList());
        return new Customer(name, all, Optional.empty(), new TokenQuota(0, 0, 1, false));
    }

    private static RouteTable table(Customer... customers) {
        return new RouteTable(
                new RoutingConfiguration(
                        1, List.of(), Map.of(), CallerLimits.defaults(), List.of(customers)));
    }

    private static Decision.Accepted accepted(String name, String... keys) {
        return new Decision.Accepted(
                Optional.of(customer(name, keys)), new CallIdentity.Customer(Optional.of(name)));
    }

    private static Decision refused(Refusal refusal) {
        return new Decision.Refused(refusal);
    }

    /** Guards against deployments without customers that suddenly need keys or lose headers. */
    @Test
    public void callsAreUnchangedIfNoCustomersAreListed() {
        assertThat(CustomerPolicy.onArrival(table(), false, NO_KEY)).isEqualTo(UNCHECKED);
        assertThat(CustomerPolicy.onArrival(table(), true, key(KEY))).isEqualTo(UNCHECKED);
    }

    @DataProvider
    public Object[][] arrivals() {
        return new Object[][] {
            {false, key(KEY), accepted("a", KEY)},
            {true, key(KEY), accepted("a", KEY)},
            {false, key("other"), refused(Refusal.UNKNOWN_KEY)},
            {false, key(KEY.toUpperCase(java.util.Locale.ROOT)), refused(Refusal.UNKNOWN_KEY)},
            {false, NO_KEY, refused(Refusal.NO_KEY)},
            {true, key("other"), PUBLIC},
            {true, NO_KEY, PUBLIC},
        };
    }

    /** Guards against a call that is let through unchecked, and a valid one that is refused. */
    @Test(dataProvider = "arrivals")
    public void callNeedsKeyUnlessRouteIsPublic(
            boolean isPublic, Optional<CustomerKey> key, Decision expected) {
        RouteTable routes = table(customer("a", KEY), customer("b", "k-b"), customer("c"));
        assertThat(CustomerPolicy.onArrival(routes, isPublic, key)).isEqualTo(expected);
    }

    @DataProvider
    public Object[][] changes() {
        Decision.Accepted a = accepted("a", KEY);
        return new Object[][] {
            {"same", table(customer("a", KEY)), false, a, a},
            {"key added", table(customer("a", KEY, "2")), false, a, accepted("a", KEY, "2")},
            {"removed", table(customer("a", "2")), false, a, refused(Refusal.KEY_REMOVED)},
            {"customer gone", table(customer("b", "2")), false, a, refused(Refusal.KEY_REMOVED)},
            {"moved", table(customer("b", KEY)), false, a, refused(Refusal.KEY_REMOVED)},
            {"removed, now public", table(customer("a", "2")), true, a, PUBLIC},
            {"moved, now public", table(customer("b", KEY)), true, a, accepted("b", KEY)},
            {"no customers now", table(), false, a, a},
            {"customers only now", table(customer("a", KEY)), false, UNCHECKED, a},
            {
                "customers only now, another key",
                table(customer("a", "2")),
                false,
                UNCHECKED,
                refused(Refusal.KEY_REMOVED)
            },
            {"no longer public, known key", table(customer("a", KEY)), false, PUBLIC, a},
            {
                "no longer public, unknown key",
                table(customer("a", "2")),
                false,
                PUBLIC,
                refused(Refusal.KEY_REMOVED)
            },
        };
    }

    /** Guards against a send for a customer that no longer has the key of the call. */
    @Test(dataProvider = "changes")
    public void sendNeedsKeyOfSameCustomerInNewestConfiguration(
            String name,
            RouteTable newest,
            boolean isPublic,
            Decision.Accepted before,
            Decision expected) {
        assertThat(CustomerPolicy.beforeSend(newest, isPublic, key(KEY), before))
                .isEqualTo(expected);
    }

    /** Guards against a key in the text of what is logged or thrown. */
    @Test
    public void textFormsContainNoKey() {
        RequestHead head =
                new RequestHead(
                        "r",
                        "h",
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        List.of(),
                        Optional.empty(),
                        key(KEY),
                        Optional.empty());
        RouteTable routes = table(customer("a", KEY));
        assertThat(
                        List.of(
                                head.toString(),
                                routes.configuration().toString(),
                                CustomerPolicy.onArrival(routes, false, key(KEY)).toString()))
                .noneMatch(text -> text.contains(KEY));
    }

    /** Guards against a registry that grows with each customer that ever had a call. */
    @Test
    public void countersOfCustomersAreBounded() {
        MetricRegistry metrics = new MetricRegistry();
        for (int i = 0; i < 3 * CallCustomer.MAX_COUNTED; i++) {
            CallCustomer.count(metrics, "c" + i);
            CallCustomer.count(metrics, "c0");
        }
        assertThat(metrics.getCounters()).hasSize(CallCustomer.MAX_COUNTED + 2);
        assertThat(metrics.counter("customers.calls.c0").getCount())
                .isEqualTo(3L * CallCustomer.MAX_COUNTED + 1);
        assertThat(metrics.counter("customers.calls." + CallCustomer.OTHERS).getCount())
                .isEqualTo(2L * CallCustomer.MAX_COUNTED);
    }
}
