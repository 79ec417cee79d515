package org.cornelway.bench.slopes;

import java.util.ArrayList;
import java.util.List;

/** Builds a Markdown table of the resource usage of processes. Not thread-safe. */
final class ResourceUsageTable {
    private static final int BYTES_PER_MIB = 1 << 20;
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<String> mRows = new ArrayList<>();

    /**
     * Adds a row for the processes of one role: the mean of their rates between two samples, and
     * the mean and the maximum of their memory at the second sample.
     *
     * @param point fleet or configuration that was measured
     * @param role role of the processes
     * @param before first sample of each process
     * @param after second sample of each process, in the same order
     */
    void add(String point, String role, List<ProcessSample> before, List<ProcessSample> after) {
        double seconds = 0;
        double cpu = 0;
        double bytes = 0;
        double documents = 0;
        long resident = 0;
        long maxResident = 0;
        long heap = 0;
        int count = after.size();
        for (int i = 0; i < count; i++) {
            ProcessSample first = before.get(i);
            ProcessSample second = after.get(i);
            seconds += (second.sampledNanos() - first.sampledNanos()) / NANOS_PER_SECOND / count;
            cpu += (double) (second.cpuMillis() - first.cpuMillis()) / count;
            bytes += (double) (second.controlBytes() - first.controlBytes()) / count;
            documents += (double) (second.documentsSent() - first.documentsSent()) / count;
            resident += second.residentBytes() / count;
            maxResident = Math.max(maxResident, second.residentBytes());
            heap += second.heapBytes() / count;
        }
        // CPU milliseconds per second, divided by 10, are the percentage of one core.
        addRow(
                point,
                role,
                count,
                String.format("%.2f", cpu / seconds / 10),
                String.format("%.0f", bytes / seconds),
                String.format("%.2f", documents / seconds),
                resident / BYTES_PER_MIB,
                maxResident / BYTES_PER_MIB,
                heap / BYTES_PER_MIB);
    }

    private void addRow(Object... cells) {
        StringBuilder row = new StringBuilder("|");
        for (Object cell : cells) {
            row.append(' ').append(cell).append(" |");
        }
        mRows.add(row.toString());
    }

    String toMarkdown() {
        return "| point | role | processes | % of a core | control bytes/s | documents sent/s |"
                + " resident MiB, mean | most | heap MiB |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
                + String.join("\n", mRows)
                + "\n";
    }
}
