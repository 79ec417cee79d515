package org.cornelway.bench.slopes;

import java.util.ArrayList;
import java.util.List;

/** Builds a Markdown table of the resource usage of processes. Not thread-safe. */
final class ResourceUsageTable {
    private static final int BYTES_PER_MIB = 1 << 20;
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<String> mRows = new ArrayList<>();

    /**
     * Adds a row for the processes of one role. It holds the mean CPU usage, control traffic and
     * rate of sent documents between two samples of each process, and, at the second sample, the
     * mean and maximum resident memory and the mean heap usage.
     *
     * @param point fleet or configuration that was measured
     * @param role role of the processes
     * @param before first sample of each process
     * @param after second sample of each process, in the same order
     */
    void add(String point, String role, List<ProcessSample> before, List<ProcessSample> after) {
        double seconds = 0;
        double cpuMillis = 0;
        double controlBytes = 0;
        double documentsSent = 0;
        long residentBytes = 0;
        long maxResidentBytes = 0;
        long heapBytes = 0;
        int count = after.size();
        for (int i = 0; i < count; i++) {
            ProcessSample first = before.get(i);
            ProcessSample second = after.get(i);
            seconds += (second.sampledNanos() - first.sampledNanos()) / NANOS_PER_SECOND / count;
            cpuMillis += (double) (second.cpuMillis() - first.cpuMillis()) / count;
            controlBytes += (double) (second.controlBytes() - first.controlBytes()) / count;
            documentsSent += (double) (second.documentsSent() - first.documentsSent()) / count;
            residentBytes += second.residentBytes() / count;
            maxResidentBytes = Math.max(maxResidentBytes, second.residentBytes());
            heapBytes += second.heapBytes() / count;
        }
        // 1,000 CPU milliseconds per second are 100 % of one core.
        addRow(
                point,
                role,
                count,
                String.format("%.2f", cpuMillis / seconds / 10),
                String.format("%.0f", controlBytes / seconds),
                String.format("%.2f", documentsSent / seconds),
                residentBytes / BYTES_PER_MIB,
                maxResidentBytes / BYTES_PER_MIB,
                heapBytes / BYTES_PER_MIB);
    }

    private void addRow(Object... cells) {
        StringBuilder row = new StringBuilder("|");
        for (Object cell : cells) {
            row.append(' ').append(cell).append(" |");
        }
        mRows.add(row.toString());
    }

    /** Returns the table with its header, in the order in which the rows were added. */
    String toMarkdown() {
        return "| point | role | processes | % of a core | control bytes/s | documents sent/s |"
                + " resident MiB, mean | most | heap MiB |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
                + String.join("\n", mRows)
                + "\n";
    }
}
