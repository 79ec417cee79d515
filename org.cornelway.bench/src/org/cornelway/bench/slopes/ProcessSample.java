package org.cornelway.bench.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cornelway.bench.LoopbackHttpClient;
import org.cornelway.config.Json;

/**
 * Resource usage of one process at one time. Immutable.
 *
 * @param sampledNanos {@link System#nanoTime} when the sample was taken
 * @param cpuMillis CPU time since the process started
 * @param residentBytes resident memory
 * @param heapBytes heap in use
 * @param controlBytes bytes of control traffic (relay, key-value service and instance list) since
 *     the process started
 * @param documentsSent documents sent to peers since the process started
 */
record ProcessSample(
        long sampledNanos,
        long cpuMillis,
        long residentBytes,
        long heapBytes,
        long controlBytes,
        long documentsSent) {
    /** Unit of the CPU times in /proc/PID/stat, with the usual USER_HZ of 100. */
    private static final long CLOCK_TICK_MILLIS = 10;

    /** Index of the user CPU time among the fields of /proc/PID/stat after the process name. */
    private static final int USER_TIME_FIELD = 11;

    /** Index of the system CPU time among the fields of /proc/PID/stat after the process name. */
    private static final int SYSTEM_TIME_FIELD = 12;

    private static final int BYTES_PER_KIB = 1_024;

    /**
     * Samples a running process from its files under /proc and from its metrics.
     *
     * @param port HTTP port of the process
     */
    static ProcessSample read(Process process, LoopbackHttpClient http, int port) {
        try {
            Path procDirectory = Path.of("/proc", Long.toString(process.pid()));
            String stat = Files.readString(procDirectory.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long cpuTicks =
                    Long.parseLong(fields[USER_TIME_FIELD])
                            + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
            long residentKib =
                    Files.readAllLines(procDirectory.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                            .sum();
            JsonNode metrics =
                    Json.lenientMapper().readTree(http.call("GET", port, "/metrics", "").body());
            JsonNode gauges = metrics.path("gauges");
            long controlBytes =
                    metrics.path("counters").path("relay.bytes").path("count").asLong()
                            + gauges.path("kv.bytes").path("value").asLong()
                            + gauges.path("instances.bytes").path("value").asLong();
            return new ProcessSample(
                    System.nanoTime(),
                    cpuTicks * CLOCK_TICK_MILLIS,
                    residentKib * BYTES_PER_KIB,
                    gauges.path("heap.bytes").path("value").asLong(),
                    controlBytes,
                    metrics.path("counters").path("relay.documents").path("count").asLong());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
