package org.cornelway.bench.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cornelway.bench.LoopbackHttp;
import org.cornelway.config.Json;

/**
 * Resource usage of one process at one time. Immutable.
 *
 * @param sampledNanos {@link System#nanoTime} when the sample was taken
 * @param cpuMillis CPU time since the process started
 * @param residentBytes resident memory
 * @param heapBytes heap in use
 * @param controlBytes bytes of control traffic since the process started
 * @param documentsSent documents sent to peers since the process started
 */
record ProcessSample(
        long sampledNanos,
        long cpuMillis,
        long residentBytes,
        long heapBytes,
        long controlBytes,
        long documentsSent) {
    private static final long CLOCK_TICK_MILLIS = 10;

    /** Index in /proc/PID/stat, counted from the first field after the process name. */
    private static final int USER_TIME_FIELD = 11;

    /** Index in /proc/PID/stat, counted from the first field after the process name. */
    private static final int SYSTEM_TIME_FIELD = 12;

    private static final int BYTES_PER_KIB = 1_024;

    static ProcessSample read(Process process, LoopbackHttp http, int port) {
        try {
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks =
                    Long.parseLong(fields[USER_TIME_FIELD])
                            + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
            long resident =
                    Files.readAllLines(proc.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                            .sum();
            JsonNode metrics =
                    Json.mapper().readTree(http.call("GET", port, "/metrics", "").body());
            JsonNode gauges = metrics.path("gauges");
            long bytes =
                    metrics.path("counters").path("relay.bytes").path("count").asLong()
                            + gauges.path("kv.bytes").path("value").asLong()
                            + gauges.path("instances.bytes").path("value").asLong();
            return new ProcessSample(
                    System.nanoTime(),
                    ticks * CLOCK_TICK_MILLIS,
                    resident * BYTES_PER_KIB,
                    gauges.path("heap.bytes").path("value").asLong(),
                    bytes,
                    metrics.path("counters").path("relay.documents").path("count").asLong());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
