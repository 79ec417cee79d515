package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the placement of models on engines before and at the first calls. */
public class IdleEnginesProcessTest extends DirectTestBase {
    /** Time in which the controller begins its term and orders the first loads. */
    private static final long SETTLING_MILLIS = 6_000;

    /** Time in which no order may be sent. */
    private static final long OBSERVED_MILLIS = 5_000;

    @Test
    public void settledEnginesReceiveNoOrdersWithoutCalls() throws Exception {
        Thread.sleep(SETTLING_MILLIS);
        int settled = orders().size();
        Thread.sleep(OBSERVED_MILLIS);
        List<String> orders = orders();
        assertThat(orders.subList(settled, orders.size())).isEmpty();
    }

    private List<String> orders() throws IOException {
        try (var lines = Files.lines(fleet().logFile(0))) {
            return lines.filter(line -> line.contains("engine.order")).toList();
        }
    }
}
