package org.cornelway.bench.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cornelway.bench.DemoPresets;
import org.cornelway.bench.FleetSize;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.soak.RelayRun;
import org.cornelway.config.AdapterRule;
import org.cornelway.config.AuditEntry;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.ModelRule;
import org.cornelway.config.Preset;
import org.cornelway.config.ServiceRule;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.PlacementPlanner;
import org.cornelway.placement.ServerView;
import org.cornelway.placement.SpreadPlacement;

/**
 * Measures how resource usage grows with the fleet and the configuration, and writes
 * docs/SLOPES.md, on which docs/CAPACITY.md is based.
 */
public final class SlopesProgram {
    private static final long SETTLE_SECONDS = 10;
    private static final long WINDOW_SECONDS = 20;
    private static final long ADAPTER_BYTES = 256L << 20;
    private static final int ENTRIES = 2;

    private final Path mRoot =
            Path.of(System.getProperty("cornelway.root", ".")).toAbsolutePath().normalize();
    private final ResourceUsageTable mTable = new ResourceUsageTable();
    private final StringBuilder mCallTable =
            new StringBuilder(
                    "| point | reads/s | writes/s | lease calls/s | open watches |\n"
                            + "| --- | --- | --- | --- | --- |\n");

    private SlopesProgram() {}

    /**
     * Runs all measurements and writes the page; {@code --quick} only measures the target
     * deployment's configuration and prints the result.
     */
    public static void main(String[] arguments) {
        SlopesProgram program = new SlopesProgram();
        if (List.of(arguments).contains("--quick")) {
            program.measureTarget();
            System.out.println(program.mTable.toMarkdown());
        } else {
            program.run();
        }
        System.exit(0);
    }

    private void run() {
        for (int agents : new int[] {6, 12, 24}) {
            measureFleet(agents);
        }
        measureConfigurations();
        String page =
                "# Raw slopes\n\nWritten by `bin/slopes` on "
                        + Runtime.getRuntime().availableProcessors()
                        + " cores; docs/CAPACITY.md cites it. Processes are real and on loopback."
                        + " Heap is what is in use between collections. The last two tables are"
                        + " runs of the decision code in virtual time.\n\n"
                        + mTable.toMarkdown()
                        + "\n## Calls to the key-value service, all processes together\n\n"
                        + mCallTable
                        + "\n## Relay of one change, virtual time\n\n"
                        + relayTable()
                        + "\n## Planner and documents\n\n"
                        + plannerTable();
        try {
            Files.writeString(mRoot.resolve("docs").resolve("SLOPES.md"), page);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        System.out.println(page);
    }

    private static FleetSize fleetSize(int agents) {
        int plain = Math.max(1, agents / 6);
        return new FleetSize(ENTRIES, agents - plain, plain, agents / 2, 200, 100);
    }

    private void measureFleet(int agents) {
        try (ProcessFleet fleet = new ProcessFleet(mRoot, fleetSize(agents))) {
            fleet.startAll();
            fleet.activatePreset("p", DemoPresets.toJson(preset("p", 10, 0)));
            measure(fleet, agents + " agents at rest");
        }
    }

    private void measureConfigurations() {
        try (ProcessFleet fleet = new ProcessFleet(mRoot, fleetSize(12))) {
            fleet.startAll();
            fleet.activatePreset("a", DemoPresets.toJson(preset("a", 40, 95)));
            measure(fleet, "12 agents, 40 models, 95 adapters");
            fleet.activatePreset("b", DemoPresets.toJson(preset("b", 100, 8_000)));
            measure(fleet, "12 agents, 100 models, 8,000 adapters");
            fleet.activatePreset("c", DemoPresets.toJson(preset("c", 160, 26_000)));
            fleet.activatePreset("d", DemoPresets.toJson(preset("d", 160, 25_000)));
            measure(fleet, "12 agents, 160 models, 26,000 adapters");
            measureChanges(fleet, 10);
            measureChanges(fleet, 5);
            measureChanges(fleet, 2);
        }
    }

    /** Measures the configuration of the target deployment. */
    private void measureTarget() {
        try (ProcessFleet fleet = new ProcessFleet(mRoot, fleetSize(12))) {
            fleet.startAll();
            fleet.activatePreset("c", DemoPresets.toJson(preset("c", 160, 26_000)));
            fleet.activatePreset("d", DemoPresets.toJson(preset("d", 160, 25_000)));
            measure(fleet, "12 agents, 160 models, 26,000 adapters");
            measureChanges(fleet, 5);
        }
    }

    /**
     * Measures a fleet while an operator switches between presets {@code c} and {@code d} at a
     * fixed interval.
     */
    private void measureChanges(ProcessFleet fleet, int intervalSeconds) {
        Thread operator =
                new Thread(
                        () -> {
                            for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                                String body = "{\"preset\":\"" + (i % 2 == 0 ? "c" : "d") + "\"}";
                                fleet.callAdminApi(0, "POST", "/switch", body);
                                sleep(intervalSeconds);
                            }
                        });
        operator.start();
        measure(fleet, "the same, one change in " + intervalSeconds + " s");
        operator.interrupt();
        try {
            operator.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Adds the resource usage of a fleet and its calls to the key-value service to the tables.
     * Waits {@link #SETTLE_SECONDS}, then measures for {@link #WINDOW_SECONDS}.
     *
     * @param point name of the measurement in the tables
     */
    private void measure(ProcessFleet fleet, String point) {
        System.out.println("measuring: " + point);
        sleep(SETTLE_SECONDS);
        JsonNode callsBefore = readCallCounts(fleet);
        List<ProcessSample> agentsBefore = sampleAgents(fleet);
        List<ProcessSample> entriesBefore = sampleEntries(fleet);
        sleep(WINDOW_SECONDS);
        mTable.add(point, "agent", agentsBefore, sampleAgents(fleet));
        mTable.add(point, "entry", entriesBefore, sampleEntries(fleet));
        JsonNode callsAfter = readCallCounts(fleet);
        mCallTable.append(
                String.format(
                        "| %s | %.2f | %.2f | %.2f | %d |%n",
                        point,
                        callsPerSecond(callsBefore, callsAfter, "/v3/kv/range"),
                        callsPerSecond(callsBefore, callsAfter, "/v3/kv/txn"),
                        callsPerSecond(callsBefore, callsAfter, "/v3/lease/keepalive")
                                + callsPerSecond(callsBefore, callsAfter, "/v3/lease/grant"),
                        callsAfter.path("openWatches").asInt()));
    }

    private static double callsPerSecond(JsonNode before, JsonNode after, String path) {
        return (after.path(path).asDouble() - before.path(path).asDouble()) / WINDOW_SECONDS;
    }

    private static JsonNode readCallCounts(ProcessFleet fleet) {
        try {
            return Json.lenientMapper()
                    .readTree(
                            fleet.http()
                                    .call("GET", fleet.keyValueServicePort(), "/calls", "")
                                    .body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<ProcessSample> sampleAgents(ProcessFleet fleet) {
        int count = fleet.size().engines() + fleet.size().plainInstances();
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                ProcessSample.read(
                                        fleet.process(ProcessFleet.agentId(i)),
                                        fleet.http(),
                                        fleet.agentHttpPort(i)))
                .toList();
    }

    private static List<ProcessSample> sampleEntries(ProcessFleet fleet) {
        return IntStream.range(0, fleet.size().entries())
                .mapToObj(
                        i ->
                                ProcessSample.read(
                                        fleet.process(ProcessFleet.entryId(i)),
                                        fleet.http(),
                                        fleet.entryHttpPort(i)))
                .toList();
    }

    private static Preset preset(String name, int models, int adapters) {
        List<ModelRule> rules = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            rules.add(new ModelRule("model-" + i, DemoPresets.MODEL_BYTES, 0, 4));
        }
        List<AdapterRule> adapterRules = new ArrayList<>();
        for (int base = 0; base < models; base++) {
            List<String> names = new ArrayList<>();
            for (int i = base; i < adapters; i += models) {
                names.add("adapter-" + i);
            }
            adapterRules.add(new AdapterRule("model-" + base, ADAPTER_BYTES, names));
        }
        List<ServiceRule> services =
                List.of(new ServiceRule(ProcessFleet.PLAIN_SERVICE, List.of()));
        return new Preset(name, rules, adapterRules, services, List.of(), 600_000, 0.5);
    }

    private static String relayTable() {
        StringBuilder table =
                new StringBuilder(
                        "| processes | ms until all hold it | transfers of the document |"
                                + " exchanges/s, all | store reads/min, all | watches |\n"
                                + "| --- | --- | --- | --- | --- | --- |\n");
        for (int processes : new int[] {60, 300, 1_310}) {
            RelayRun.PropagationResult result = new RelayRun(processes).measurePropagation(1);
            table.append(
                    String.format(
                            "| %d | %d | %d | %.0f | %d | %d |%n",
                            processes,
                            result.propagationMillis(),
                            result.documentTransfers(),
                            result.exchangesPerSecond(),
                            result.storeReads(),
                            result.watchesStarted()));
        }
        return table.toString();
    }

    private static String plannerTable() {
        StringBuilder table =
                new StringBuilder(
                        "| models | servers | adapters | ms a full plan | ms an unchanged plan |"
                                + " placement bytes | configuration bytes |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- |\n");
        int[][] sizes = {{40, 13, 95}, {160, 230, 8_000}, {160, 920, 26_000}};
        for (int[] size : sizes) {
            table.append(plannerRow(size[0], size[1], size[2]));
        }
        return table.toString();
    }

    private static String plannerRow(int models, int servers, int adapters) {
        List<ServerView> views =
                IntStream.range(0, servers)
                        .mapToObj(i -> new ServerView("s" + i, "z" + i % 6, 640L << 30, false))
                        .toList();
        AuditEntry entry = new AuditEntry("id", "a", 0, "switch", "", "", 1);
        Configuration configuration =
                new Configuration(1, preset("p", models, adapters), List.of(entry), 0);
        PlacementPlanner planner = new PlacementPlanner(new SpreadPlacement());
        PlacementDocument empty = PlacementDocument.empty(0);
        // Warms up the planner; this call is not timed.
        planner.plan(empty, configuration, views, Set.of(), "c");
        long startNanos = System.nanoTime();
        PlacementDocument plan =
                planner.plan(empty, configuration, views, Set.of(), "c").orElseThrow();
        long fullPlanNanos = System.nanoTime() - startNanos;
        startNanos = System.nanoTime();
        planner.plan(plan, configuration, views, Set.of(), "c");
        long unchangedPlanNanos = System.nanoTime() - startNanos;
        return String.format(
                "| %d | %d | %d | %.1f | %.1f | %d | %d |%n",
                models,
                servers,
                adapters,
                fullPlanNanos / 1e6,
                unchangedPlanNanos / 1e6,
                Json.write(plan).length,
                Json.write(configuration).length);
    }

    private static void sleep(long seconds) {
        try {
            TimeUnit.SECONDS.sleep(seconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
