package org.cornelway.pgm;

import java.util.List;
import org.cornelway.admin.ModelCapacity;
import org.cornelway.admin.ProcessStatus;
import org.cornelway.admin.SystemStatus;

/** Formats the system status as text. Stateless and thread-safe. */
final class StatusScreen {
    private static final double BYTES_PER_GIB = 1L << 30;

    private StatusScreen() {}

    /**
     * Renders the status screen.
     *
     * @param nowMillis current time in milliseconds since the epoch
     */
    static String render(SystemStatus status, long nowMillis) {
        StringBuilder screen = new StringBuilder();
        screen.append(
                String.format(
                        "preset %s  version %d  revision %d  placement %d%n",
                        status.preset().isEmpty() ? "(none)" : status.preset(),
                        status.configurationVersion(),
                        status.configurationRevision(),
                        status.placementFencingNumber()));
        screen.append(controllerLine(status.processes()));
        screen.append(keyValueServiceLine(status.processes()));
        appendModels(screen, status.models());
        appendProcesses(screen, status, nowMillis);
        return screen.toString();
    }

    private static String controllerLine(List<ProcessStatus> processes) {
        return processes.stream()
                .filter(ProcessStatus::controller)
                .findFirst()
                .map(
                        process ->
                                String.format(
                                        "controller %s for %d s%n",
                                        process.instance(),
                                        process.controllerLeaseAgeMillis() / 1_000))
                .orElse(String.format("controller (none)%n"));
    }

    private static String keyValueServiceLine(List<ProcessStatus> processes) {
        long upCount =
                processes.stream()
                        .filter(process -> process.reachable() && process.keyValueServiceUp())
                        .count();
        return String.format(
                "key-value service %s (answered %d of %d processes)%n",
                upCount > 0 ? "up" : "down", upCount, processes.size());
    }

    private static void appendModels(StringBuilder screen, List<ModelCapacity> models) {
        screen.append(
                String.format(
                        "%n%-24s %5s %5s %6s %7s  %s%n",
                        "model", "warm", "limit", "loaded", "loading", "where"));
        for (ModelCapacity model : models) {
            screen.append(
                    String.format(
                            "%-24s %5d %5d %6d %7d  %s%s%n",
                            model.model(),
                            model.warm(),
                            model.limit(),
                            model.loaded(),
                            model.loading(),
                            String.join(",", model.where()),
                            capacityNote(model)));
        }
    }

    /**
     * Returns a note if a model has more replicas than its limit allows, or fewer loaded ones than
     * the preset keeps warm; otherwise the empty string.
     */
    private static String capacityNote(ModelCapacity model) {
        int replicaCount = model.loaded() + model.loading();
        if (replicaCount > model.limit()) {
            return "  OVER LIMIT";
        }
        if (model.loaded() < model.warm()) {
            return model.slots().size() < model.warm() ? "  short: no server" : "  short: loading";
        }
        return "";
    }

    private static void appendProcesses(StringBuilder screen, SystemStatus status, long nowMillis) {
        screen.append(
                String.format(
                        "%n%-16s %-6s %9s %9s %6s %7s %10s  %s%n",
                        "instance",
                        "role",
                        "revision",
                        "placement",
                        "active",
                        "waiting",
                        "memory GiB",
                        "notes"));
        for (ProcessStatus process : status.processes()) {
            screen.append(
                    String.format(
                            "%-16s %-6s %9d %9d %6d %7d %10s  %s%n",
                            process.instance(),
                            process.role(),
                            process.configurationRevision(),
                            process.placementFencingNumber(),
                            process.active(),
                            process.waiting(),
                            memoryUse(process),
                            notes(process, status, nowMillis)));
        }
    }

    /**
     * Returns the reserved and the total engine memory in GiB; "-" if the process has no engine or
     * did not answer.
     */
    private static String memoryUse(ProcessStatus process) {
        if (process.capacityBytes() == 0) {
            return "-";
        }
        return String.format(
                "%.1f/%.1f",
                process.reservedBytes() / BYTES_PER_GIB, process.capacityBytes() / BYTES_PER_GIB);
    }

    /** Returns what an operator should know about a process; empty if there is nothing unusual. */
    private static String notes(ProcessStatus process, SystemStatus status, long nowMillis) {
        StringBuilder notes = new StringBuilder();
        if (!process.reachable()) {
            return "UNREACHABLE";
        }
        if (process.configurationRevision() < status.configurationRevision()) {
            notes.append("lags ");
        }
        if (process.leaving()) {
            notes.append("leaving ");
        }
        if (process.slow()) {
            notes.append("slow ");
        }
        if (process.oldestDeadlineMillis() > 0) {
            long remainingMillis = process.oldestDeadlineMillis() - nowMillis;
            notes.append("oldest deadline in ").append(remainingMillis).append(" ms");
        }
        return notes.toString().trim();
    }
}
