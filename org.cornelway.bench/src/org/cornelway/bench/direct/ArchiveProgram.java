package org.cornelway.bench.direct;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cornelway.bench.LoopbackHttpClient;
import org.cornelway.bench.LoopbackHttpClient.Header;

/**
 * Creates the class data sharing (CDS) archive of a direct entry from a run that exercises the
 * request path.
 *
 * <p>Arguments: the path of the archive relative to the repository, then the JVM flags of the entry
 * in production, because an archive can only be used by the JVM configuration that it was created
 * for.
 */
public final class ArchiveProgram {
    private static final int ROUNDS = 20;

    /** Key of the customer. */
    private static final String KEY = "archive-key";

    private ArchiveProgram() {}

    /** Creates the archive; fails if the entry did not write it. */
    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(System.getProperty("cornelway.root"));
        Path archive = root.resolve(arguments[0]);
        Files.deleteIfExists(archive);
        List<String> flags = new ArrayList<>(Arrays.asList(arguments).subList(1, arguments.length));
        flags.add("-XX:ArchiveClassesAtExit=" + arguments[0]);
        try (DirectFleet fleet = new DirectFleet(root, 2)) {
            fleet.addServer(DirectFleet.PLAIN_SERVICE, "p1");
            fleet.addServer(DirectFleet.ENGINE_SERVICE, "e1", "m1");
            fleet.addServer(DirectFleet.ENGINE_SERVICE, "e2", "m1");
            addCustomer(fleet);
            fleet.configure(ArchiveProgram::deferStreams);
            fleet.startEntry(1);
            fleet.awaitReady(1);
            fleet.startEntry(0, flags);
            fleet.awaitReady(0);
            exercise(fleet);
            fleet.signal(0, "TERM");
            fleet.entryProcess(0).onExit().join();
            if (!Files.exists(archive)) {
                System.err.println(Files.readString(fleet.logFile(0)));
                throw new IllegalStateException("the entry wrote no archive to " + archive);
            }
        }
    }

    /** Adds a customer with a quota, so that the archive contains the classes for both. */
    private static void addCustomer(DirectFleet fleet) {
        ObjectNode customer = fleet.customers().addObject();
        customer.put("Name", "c1").put("Priority", 1).put("Unit", "generate");
        customer.put("PlainTokens", 1).put("RatePerS", 100_000).put("Burst", 100_000);
        customer.putArray("ApiKeys").add(KEY);
    }

    /** Gives streams an objective with which their calls may wait for a load of their model. */
    private static void deferStreams(ArrayNode routes) {
        for (JsonNode route : routes) {
            if (route.path("Prefix").asText().equals("/stream/")) {
                ((ObjectNode) route).put("TargetLatencyMs", 4_000);
            }
        }
    }

    /** Sends calls of each kind, so that the archive contains the classes that they load. */
    private static void exercise(DirectFleet fleet) {
        for (int i = 0; i < ROUNDS; i++) {
            call(fleet, "/safe/a", "");
            call(fleet, "/unsafe/a", "");
            call(fleet, "/resume/a", "m1");
            call(fleet, "/stream/a", i % 2 == 0 ? "m2" : "m3/a1");
            call(fleet, "/nowhere/a", "");
        }
    }

    private static void call(DirectFleet fleet, String path, String model) {
        List<Header> headers =
                new ArrayList<>(
                        List.of(
                                new Header("Host", DirectFleet.HOST),
                                new Header("X-Request-Id", path + System.nanoTime()),
                                new Header("X-Deadline-Ms", "3000"),
                                new Header("Authorization", "Bearer " + KEY)));
        if (!model.isEmpty()) {
            headers.add(new Header("X-Model", model));
        }
        LoopbackHttpClient http = fleet.http();
        http.call("POST", fleet.frontPort(0), path, "body", headers.toArray(Header[]::new));
    }
}
