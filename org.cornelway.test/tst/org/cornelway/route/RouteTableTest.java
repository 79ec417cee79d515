package org.cornelway.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests the choice of routes by host and prefix, and the split of calls by weight. */
public class RouteTableTest {
    private static Route route(String host, String prefix, WeightedService... services) {
        return new Route(
                prefix,
                host,
                prefix,
                CallKind.SAFE,
                1_000,
                100,
                0,
                List.of(services),
                1,
                false,
                false,
                0,
                false);
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(
                new RoutingConfiguration(
                        1, List.of(routes), Map.of(), CallerLimits.defaults(), List.of()));
    }

    @Test
    public void findsLongestPrefixIgnoringHostCasePortAndQuery() {
        RouteTable table =
                table(
                        route("h", "/a/", new WeightedService("s1", 1)),
                        route("h", "/a/b/", new WeightedService("s2", 1)));
        assertThat(table.find("h", "/a/b/c?q=/a/").orElseThrow().prefix()).isEqualTo("/a/b/");
        assertThat(table.find("H:8080", "/a/bc").orElseThrow().prefix()).isEqualTo("/a/");
        assertThat(table.find("h", "/a")).isEmpty();
        assertThat(table.find("h", "/x?/a/")).isEmpty();
        assertThat(table.find("other", "/a/b")).isEmpty();
    }

    @Test
    public void callsAreSplitByWeight() {
        Route route = route("h", "/", new WeightedService("s1", 90), new WeightedService("s2", 10));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = -500; i < 500; i++) {
            counts.merge(route.selectService(i), 1, Integer::sum);
        }
        assertThat(counts).containsEntry("s1", 900).containsEntry("s2", 100);
    }

    @Test
    public void serviceWithZeroWeightGetsNoCalls() {
        Route route = route("h", "/", new WeightedService("s1", 0), new WeightedService("s2", 5));
        for (int i = 0; i < 20; i++) {
            assertThat(route.selectService(i)).isEqualTo("s2");
        }
    }
}
