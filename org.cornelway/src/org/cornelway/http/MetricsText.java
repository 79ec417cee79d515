package org.cornelway.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Formats metrics in the Prometheus text format 0.0.4. Stateless and thread-safe. */
public final class MetricsText {
    private static final String PREFIX = "cornelway_";

    private MetricsText() {}

    /** Formats the counters, numeric gauges and histograms of a registry. */
    public static String format(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : metrics.getCounters().entrySet()) {
            appendLine(
                    text, prometheusName(entry.getKey()) + "_total", entry.getValue().getCount());
        }
        metrics.getGauges()
                .forEach(
                        (key, gauge) -> {
                            if (gauge.getValue() instanceof Number number) {
                                appendLine(text, prometheusName(key), number);
                            }
                        });
        for (Map.Entry<String, Histogram> entry : metrics.getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            String name = prometheusName(entry.getKey());
            appendLine(text, name + "{quantile=\"0.5\"}", snapshot.getMedian());
            appendLine(text, name + "{quantile=\"0.95\"}", snapshot.get95thPercentile());
            appendLine(text, name + "{quantile=\"0.99\"}", snapshot.get99thPercentile());
            appendLine(text, name + "_count", entry.getValue().getCount());
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, Number value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    private static String prometheusName(String metric) {
        return PREFIX + metric.replaceAll("[^a-zA-Z0-9_]", "_");
    }
}
