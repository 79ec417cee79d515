package org.cornelway.bench;

import java.nio.file.Path;
import java.util.List;

/**
 * Demonstrates the system with simulated backend servers: a streamed completion by a model that is
 * not loaded, and a call to the plain service that runs once although it is sent twice.
 */
public final class DemoProgram {
    private static final String COMPLETION =
            "{\"model\":\"model-1\",\"prompt\":\"drift of case 14\",\"max_tokens\":8,"
                    + "\"stream\":true}";

    private DemoProgram() {}

    /**
     * Runs the demonstration. With {@code --once}, it then stops all processes and exits, with
     * status 0 if both calls gave the expected results, else 1. Otherwise all processes keep
     * running until this program is terminated.
     */
    public static void main(String[] arguments) {
        boolean once = List.of(arguments).contains("--once");
        Path root = Path.of(System.getProperty("cornelway.root", ".")).toAbsolutePath();
        ProcessFleet fleet = new ProcessFleet(root, FleetSize.small());
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        System.out.println(
                "starting stand-ins, 2 entries and 5 agents; logs in " + fleet.logDirectory());
        fleet.startAll();
        // Four models, one warm replica of the first one, at most two replicas of each.
        fleet.activatePreset(
                "ordinary", DemoPresets.toJson(DemoPresets.preset("ordinary", 4, 1, 2)));
        System.out.println("preset 'ordinary' is active");
        ProcessFleet.await(
                "readiness of entry 1", () -> fleet.http().isOk(fleet.entryHttpPort(1), "/readyz"));
        boolean complete = requestCompletion(fleet);
        boolean bookedOnce = requestBooking(fleet);
        if (once) {
            System.exit(complete && bookedOnce ? 0 : 1);
        }
        printCommands(fleet);
        blockUntilTerminated();
    }

    /** Requests a streamed completion and returns whether its answer is complete. */
    private static boolean requestCompletion(ProcessFleet fleet) {
        System.out.println(
                "requesting a streamed completion from entry 1; model-1 is not loaded yet:");
        LoopbackHttpClient.Response response =
                fleet.http().call("POST", fleet.entryHttpPort(1), "/v1/completions", COMPLETION);
        System.out.println(response.body().trim());
        long tokenEventCount =
                response.body().lines().filter(line -> line.startsWith("data: {")).count();
        boolean complete = tokenEventCount == 8 && response.body().contains("[DONE]");
        System.out.println(
                complete
                        ? "the answer of 8 tokens is complete"
                        : "error: the answer is incomplete");
        return complete;
    }

    /** Sends a booking twice, through different entries; returns whether it ran exactly once. */
    private static boolean requestBooking(ProcessFleet fleet) {
        String path = "/services/" + ProcessFleet.PLAIN_SERVICE + "/bookings";
        LoopbackHttpClient.Header key = new LoopbackHttpClient.Header("Idempotency-Key", "demo-1");
        LoopbackHttpClient.Response first =
                fleet.http().call("POST", fleet.entryHttpPort(0), path, "\"crew-7\"", key);
        LoopbackHttpClient.Response second =
                fleet.http().call("POST", fleet.entryHttpPort(1), path, "\"crew-7\"", key);
        System.out.println("booking, status " + first.status() + ": " + first.body());
        System.out.println("same key again, status " + second.status() + ": " + second.body());
        boolean ranOnce = first.body().contains("\"runs\":1") && first.body().equals(second.body());
        System.out.println(
                ranOnce
                        ? "the booking ran exactly once"
                        : "error: the booking did not run exactly once");
        return ranOnce;
    }

    private static void printCommands(ProcessFleet fleet) {
        String flags =
                " --entry 127.0.0.1:"
                        + fleet.entryHttpPort(0)
                        + " --operator-token "
                        + ProcessFleet.OPERATOR_TOKEN;
        System.out.println("running until Ctrl-C is pressed; commands to try:");
        System.out.println("  target/cornelway status" + flags);
        System.out.println("  target/cornelway preset history" + flags);
        System.out.println(
                "  curl -N -H 'Content-Type: application/json' -d '"
                        + COMPLETION
                        + "' http://127.0.0.1:"
                        + fleet.entryHttpPort(0)
                        + "/v1/completions");
    }

    /** Blocks this thread; Ctrl-C ends the program through the shutdown hook. */
    private static void blockUntilTerminated() {
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
