package org.cornelway.bench;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cornelway.config.Json;
import org.cornelway.platform.Member;

/**
 * Runs the real processes of the system with the stand-ins on this machine's loopback addresses.
 *
 * <p>Ends only processes that it started. Used by one thread.
 */
public final class ProcessFleet implements AutoCloseable {
    /** Token of the administration API. */
    public static final String OPERATOR_TOKEN = "demo-operator-token";

    /** Name of the plain service. */
    public static final String PLAIN_SERVICE = "booking";

    private static final String CLUSTER_KEY = "demo-cluster-key";
    private static final long ENGINE_MEMORY_BYTES = 40L << 30;
    private static final long POLL_MILLIS = 50;

    private final Path mRoot;
    private final FleetSize mShape;
    private final FleetPorts mPorts;
    private final Path mLogs;
    private final Vertx mVertx = Vertx.vertx();
    private final LoopbackHttp mHttp = new LoopbackHttp(mVertx);
    private final Map<String, Process> mProcesses = new TreeMap<>();
    private final List<String> mExtraFlags = new ArrayList<>();
    private Optional<ProxyFactory> mLinks = Optional.empty();

    /**
     * @param root the repository's root, built
     */
    public ProcessFleet(Path root, FleetSize shape) {
        mRoot = root;
        mShape = shape;
        mPorts = FleetPorts.reserveFor(shape);
        mLogs = root.resolve("target").resolve("logs").resolve("fleet-" + mPorts.entryHttp(0));
    }

    /** Adds flags for all roles started from now on. */
    public ProcessFleet withFlags(String... flags) {
        mExtraFlags.addAll(List.of(flags));
        return this;
    }

    /** Puts something between the entries and each agent. */
    @FunctionalInterface
    public interface ProxyFactory {
        /** Carries connections from one port to another. */
        void startProxy(int listenPort, int targetPort);
    }

    /** Lists agents under the ports of links that lead to them. */
    public ProcessFleet withAgentProxies(ProxyFactory links) {
        mLinks = Optional.of(links);
        for (int i = 0; i < mShape.engines() + mShape.plainInstances(); i++) {
            links.startProxy(mPorts.agentProxy(i), mPorts.agentRpc(i));
        }
        return this;
    }

    /** HTTP calls to the fleet. */
    public LoopbackHttp http() {
        return mHttp;
    }

    /** Sizes. */
    public FleetSize size() {
        return mShape;
    }

    /** Where the processes' logs are. */
    public Path logDirectory() {
        return mLogs;
    }

    /** Starts everything and waits until the processes are alive. */
    public void startAll() {
        startStandins();
        for (int i = 0; i < mShape.engines() + mShape.plainInstances(); i++) {
            startAgent(i);
        }
        for (int i = 0; i < mShape.entries(); i++) {
            startEntry(i);
        }
        awaitLive();
    }

    /** Waits until all roles are alive. */
    public void awaitLive() {
        for (int i = 0; i < mShape.engines() + mShape.plainInstances(); i++) {
            int port = mPorts.agentHttp(i);
            await("agent " + i, () -> mHttp.isOk(port, "/livez"));
        }
        for (int i = 0; i < mShape.entries(); i++) {
            int port = mPorts.entryHttp(i);
            await("entry " + i, () -> mHttp.isOk(port, "/livez"));
        }
    }

    /** Starts the stand-ins. */
    public void startStandins() {
        List<String> command =
                List.of(
                        "java",
                        "-XX:-UsePerfData",
                        "-Xmx256m",
                        "-cp",
                        mRoot.resolve("target").resolve("lib") + "/*",
                        "org.cornelway.standin.StandinProgram",
                        "--port",
                        Integer.toString(mPorts.keyValueService()),
                        "--engines",
                        Integer.toString(mShape.engines()),
                        "--plain",
                        Integer.toString(mShape.plainInstances()),
                        "--engines-check-fencing",
                        Integer.toString(mShape.fencingEngines()),
                        "--list-lag-ms",
                        Long.toString(mShape.listLagMillis()),
                        "--loads-per-second",
                        Double.toString(mShape.loadsPerSecond()));
        start("standins", command);
        await("stand-ins", () -> mHttp.isOk(mPorts.instanceList(), "/v1/instances"));
    }

    /** Starts the agent of a backend server; plain instances come after the engines. */
    public void startAgent(int index) {
        boolean model = index < mShape.engines();
        List<String> command = role("agent", agentId(index));
        command.addAll(List.of("--rpc-port", Integer.toString(mPorts.agentRpc(index))));
        command.addAll(List.of("--http-port", Integer.toString(mPorts.agentHttp(index))));
        command.addAll(List.of("--backend-server", address(mPorts.backendServer(index))));
        command.addAll(List.of("--kind", model ? Member.KIND_MODEL : Member.KIND_PLAIN));
        if (model) {
            boolean checks = index < mShape.fencingEngines();
            command.addAll(List.of("--engine-checks-fencing", Boolean.toString(checks)));
        } else {
            command.addAll(List.of("--service", PLAIN_SERVICE));
        }
        start(agentId(index), command);
        list(agentMember(index, false));
    }

    /** Starts an entry. */
    public void startEntry(int index) {
        List<String> command = role("entry", entryId(index));
        command.addAll(List.of("--rpc-port", Integer.toString(mPorts.entryRpc(index))));
        command.addAll(List.of("--http-port", Integer.toString(mPorts.entryHttp(index))));
        command.addAll(List.of("--operator-token", OPERATOR_TOKEN));
        start(entryId(index), command);
        list(
                new Member(
                        entryId(index),
                        Member.ROLE_ENTRY,
                        address(mPorts.entryRpc(index)),
                        "r1",
                        zone(index),
                        false,
                        "",
                        "",
                        0));
    }

    private List<String> role(String role, String id) {
        List<String> command = new ArrayList<>();
        command.add(mRoot.resolve("target").resolve("cornelway").toString());
        command.addAll(List.of(role, "--instance-id", id, "--cluster-key", CLUSTER_KEY));
        command.addAll(List.of("--kv", address(mPorts.keyValueService())));
        command.addAll(List.of("--instances", address(mPorts.instanceList())));
        command.addAll(List.of("--strict-invariants", "true"));
        command.addAll(mExtraFlags);
        return command;
    }

    private Member agentMember(int index, boolean leaving) {
        boolean model = index < mShape.engines();
        return new Member(
                agentId(index),
                Member.ROLE_AGENT,
                address(mLinks.isPresent() ? mPorts.agentProxy(index) : mPorts.agentRpc(index)),
                "r1",
                zone(index),
                leaving,
                model ? Member.KIND_MODEL : Member.KIND_PLAIN,
                model ? "" : PLAIN_SERVICE,
                model ? ENGINE_MEMORY_BYTES : 0);
    }

    /** Shows an agent's instance as leaving in the platform's list. */
    public void markLeaving(int index) {
        list(agentMember(index, true));
    }

    /** Takes an instance out of the platform's list. */
    public void removeFromInstanceList(String id) {
        mHttp.call("DELETE", mPorts.instanceList(), "/v1/instances/" + id, "");
    }

    private void list(Member member) {
        String body = new String(Json.write(member), java.nio.charset.StandardCharsets.UTF_8);
        mHttp.call("PUT", mPorts.instanceList(), "/v1/instances/" + member.id(), body);
    }

    private static String zone(int index) {
        return "z" + (1 + index % 3);
    }

    private static String address(int port) {
        return "127.0.0.1:" + port;
    }

    /** Instance id of an agent. */
    public static String agentId(int index) {
        return "agent-" + index;
    }

    /** Instance id of an entry. */
    public static String entryId(int index) {
        return "entry-" + index;
    }

    /** HTTP port of an entry. */
    public int entryPort(int index) {
        return mPorts.entryHttp(index);
    }

    /** HTTP port of an agent. */
    public int agentPort(int index) {
        return mPorts.agentHttp(index);
    }

    /** HTTP port of the key-value service. */
    public int keyValuePort() {
        return mPorts.keyValueService();
    }

    /** HTTP port of the weight store, which also serves the census. */
    public int checkpointStorePort() {
        return mPorts.checkpointStore();
    }

    /** HTTP port of a backend server. */
    public int backendServerPort(int index) {
        return mPorts.backendServer(index);
    }

    private void start(String name, List<String> command) {
        try {
            Files.createDirectories(mLogs);
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mLogs.resolve(name + ".log").toFile()));
            mProcesses.put(name, builder.start());
        } catch (IOException e) {
            throw FleetPorts.unchecked(e);
        }
    }

    /** The process of a name. */
    public Process process(String name) {
        return mProcesses.get(name);
    }

    /** Kills a process without warning. */
    public void kill(String name) {
        Process process = mProcesses.remove(name);
        process.destroyForcibly();
        awaitEnd(process);
    }

    /** Asks a process to stop and waits for its end; returns its exit status. */
    public int terminate(String name) {
        Process process = mProcesses.remove(name);
        process.destroy();
        return awaitEnd(process);
    }

    private static int awaitEnd(Process process) {
        try {
            return process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Freezes a process until it is thawed. */
    public void freeze(String name) {
        signal(name, "STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw(String name) {
        signal(name, "CONT");
    }

    private void signal(String name, String signal) {
        long pid = mProcesses.get(name).pid();
        try {
            awaitEnd(new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start());
        } catch (IOException e) {
            throw FleetPorts.unchecked(e);
        }
    }

    /** Calls the administration API of an entry. */
    public LoopbackHttp.Response callAdminApi(int entry, String method, String path, String body) {
        return mHttp.call(
                method,
                entryPort(entry),
                "/admin/v1" + path,
                body,
                new LoopbackHttp.Header("Authorization", "Bearer " + OPERATOR_TOKEN),
                new LoopbackHttp.Header("X-Author", "demo"));
    }

    /** Stores a preset and puts it in force. */
    public void activatePreset(String name, String preset) {
        awaitOk("preset put", () -> callAdminApi(0, "PUT", "/presets/" + name, preset));
        awaitOk(
                "switch",
                () -> callAdminApi(0, "POST", "/switch", "{\"preset\":\"" + name + "\"}"));
    }

    /** A call that may have to be made again. */
    private interface Call {
        LoopbackHttp.Response make();
    }

    private void awaitOk(String what, Call call) {
        StringBuilder last = new StringBuilder();
        await(
                what + last,
                () -> {
                    LoopbackHttp.Response reply = call.make();
                    last.setLength(0);
                    last.append(reply.body());
                    return reply.status() == 200;
                });
    }

    /** Waits for a condition, at most half a minute. */
    public static void await(String what, BooleanSupplier condition) {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limit) {
                throw new IllegalStateException("waited too long for " + what);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    @Override
    public void close() {
        mProcesses.values().forEach(Process::destroyForcibly);
        mProcesses.values().forEach(ProcessFleet::awaitEnd);
        mProcesses.clear();
        mVertx.close().await();
    }
}
