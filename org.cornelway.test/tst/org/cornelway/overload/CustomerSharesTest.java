package org.cornelway.overload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests the division of capacity among customers. */
public class CustomerSharesTest {
    private static final int TRIALS = 2_000;

    @Test
    public void onlyCustomersAboveTheCommonLevelAreCut() {
        Map<String, Double> fractions =
                CustomerShares.fractions(
                        Map.of(
                                "large", new CustomerUse(1_000, 1_000, 1_800),
                                "small", new CustomerUse(100, 100, 180),
                                "sixfold", new CustomerUse(600, 100, 180)));
        assertThat(fractions).containsOnlyKeys("sixfold");
    }

    @Test
    public void nobodyIsCutWithoutUse() {
        assertThat(CustomerShares.fractions(Map.of())).isEmpty();
        assertThat(CustomerShares.fractions(Map.of("a", new CustomerUse(0, 0, 1)))).isEmpty();
    }

    /** Guards against shares that are not max-min fair or exceed the capacity. */
    @Test
    public void sharesAreMaxMinFair() {
        Random random = new Random(1);
        for (int i = 0; i < TRIALS; i++) {
            Map<String, CustomerUse> uses = new HashMap<>();
            int count = 1 + random.nextInt(16);
            double capacity = 0;
            for (int j = 0; j < count; j++) {
                double asked = 1 + random.nextInt(1_000);
                double served = asked * (0.6 + 0.4 * random.nextDouble());
                capacity += served;
                uses.put("c" + j, new CustomerUse(asked, served, 1 + random.nextInt(100)));
            }
            assertFair(uses, CustomerShares.fractions(uses), capacity);
        }
    }

    private static void assertFair(
            Map<String, CustomerUse> uses, Map<String, Double> fractions, double served) {
        double asked = uses.values().stream().mapToDouble(CustomerUse::askedPerSecond).sum();
        double least = 0.4 * 0.9 * Math.min(asked, served) / asked;
        double level = Double.NaN;
        for (Map.Entry<String, Double> each : fractions.entrySet()) {
            assertThat(each.getValue()).isBetween(least - 1e-9, 1.0);
            if (each.getValue() > least + 1e-9) {
                CustomerUse use = uses.get(each.getKey());
                double own = each.getValue() * use.askedPerSecond() / use.weight();
                if (!Double.isNaN(level)) {
                    assertThat(own).isCloseTo(level, within(1e-6 * level));
                }
                level = own;
            }
        }
        double weights = uses.values().stream().mapToDouble(CustomerUse::weight).sum();
        if (!Double.isNaN(level)) {
            double limit = Math.max(level, asked / weights);
            for (Map.Entry<String, CustomerUse> each : uses.entrySet()) {
                if (!fractions.containsKey(each.getKey())) {
                    assertThat(each.getValue().askedPerSecond() / each.getValue().weight())
                            .isLessThanOrEqualTo(limit * (1 + 1e-9));
                }
            }
        }
    }
}
