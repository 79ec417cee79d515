package org.cornelway.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Writes metrics in the Prometheus text format 0.0.4. Stateless and thread-safe. */
public final class MetricsText {
    private static final String PREFIX = "cornelway_";

    private MetricsText() {}

    /** All metrics of a registry. */
    public static String format(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> each : metrics.getCounters().entrySet()) {
            line(text, name(each.getKey()) + "_total", each.getValue().getCount());
        }
        metrics.getGauges()
                .forEach(
                        (key, gauge) -> {
                            if (gauge.getValue() instanceof Number number) {
                                line(text, name(key), number);
                            }
                        });
        for (Map.Entry<String, Histogram> each : metrics.getHistograms().entrySet()) {
            Snapshot snapshot = each.getValue().getSnapshot();
            String name = name(each.getKey());
            line(text, name + "{quantile=\"0.5\"}", snapshot.getMedian());
            line(text, name + "{quantile=\"0.95\"}", snapshot.get95thPercentile());
            line(text, name + "{quantile=\"0.99\"}", snapshot.get99thPercentile());
            line(text, name + "_count", each.getValue().getCount());
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, Number value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    private static String name(String metric) {
        return PREFIX + metric.replaceAll("[^a-zA-Z0-9_]", "_");
    }
}
