package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelway.traffic.ModelRate;
import org.testng.annotations.Test;

/** Tests the loss of a delayed call, and of the calls that arrive while a model is not loaded. */
public class DelayLossTest {
    @Test
    public void lossNeverDecreasesWithDelay() {
        double previousLoss = 0;
        for (int delayMillis = 0; delayMillis <= 20_000; delayMillis += 50) {
            double loss = DelayLoss.ofCall(delayMillis, 1_000);
            assertThat(loss).isGreaterThanOrEqualTo(previousLoss);
            previousLoss = loss;
        }
        assertThat(DelayLoss.ofCall(500, 1_000)).isLessThan(DelayLoss.ofCall(1_500, 1_000) / 2);
    }

    @Test
    public void lossOfArrivalsEqualsSumOverSingleCalls() {
        ModelRate rate = new ModelRate(10, 300);
        double sum = 0;
        for (int arrival = 0; arrival < 2_000; arrival++) {
            sum += 10 / 1_000.0 * DelayLoss.ofCall(2_000 - arrival, 300);
        }
        double loss = DelayLoss.ofArrivals(rate, 2_000);
        // The sum has steps of 1 ms, so a difference of 2 % from the integral is allowed.
        assertThat(loss).isBetween(sum * 0.98, sum * 1.02);
    }

    @Test
    public void lossIsGreaterForShortObjectivesAndHighRates() {
        double frequentLoss = DelayLoss.ofArrivals(new ModelRate(10, 300), 1_800);
        double rareLoss = DelayLoss.ofArrivals(new ModelRate(0.3, 3_000), 1_800);
        assertThat(frequentLoss).isGreaterThan(50 * rareLoss);
    }
}
