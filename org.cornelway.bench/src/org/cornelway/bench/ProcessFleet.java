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
 * Runs the processes of the system and the stand-ins for its platform on the loopback address.
 *
 * <p>Ends only processes that it started. Used by one thread.
 */
public final class ProcessFleet implements AutoCloseable {
    /** Operator token of the administration API. */
    public static final String OPERATOR_TOKEN = "demo-operator-token";

    /** Name of the plain service. */
    public static final String PLAIN_SERVICE = "booking";

    private static final String CLUSTER_KEY = "demo-cluster-key";
    private static final long ENGINE_MEMORY_BYTES = 40L << 30;
    private static final long POLL_MILLIS = 50;

    private final Path mRoot;
    private final FleetSize mSize;
    private final FleetPorts mPorts;
    private final Path mLogDirectory;
    private final Vertx mVertx = Vertx.vertx();
    private final LoopbackHttpClient mHttp = new LoopbackHttpClient(mVertx);
    private final Map<String, Process> mProcesses = new TreeMap<>();
    private final List<String> mExtraFlags = new ArrayList<>();
    private Optional<ProxyFactory> mProxies = Optional.empty();

    /**
     * @param root root directory of the repository, in which the system was built
     * @param size number of processes of each kind
     */
    public ProcessFleet(Path root, FleetSize size) {
        mRoot = root;
        mSize = size;
        mPorts = FleetPorts.reserveFor(size);
        mLogDirectory =
                root.resolve("target").resolve("logs").resolve("fleet-" + mPorts.entryHttp(0));
    }

    /** Adds command-line flags to all agents and entries that are started from now on. */
    public ProcessFleet addFlags(String... flags) {
        mExtraFlags.addAll(List.of(flags));
        return this;
    }

    /** Starts proxies between the entries and the agents. */
    @FunctionalInterface
    public interface ProxyFactory {
        /** Starts a proxy that accepts connections on one port and forwards them to another. */
        void startProxy(int listenPort, int targetPort);
    }

    /**
     * Starts a proxy for each agent. Agents that are started later are added to the instance list
     * with the addresses of their proxies.
     */
    public ProcessFleet startAgentProxies(ProxyFactory proxies) {
        mProxies = Optional.of(proxies);
        for (int i = 0; i < mSize.engines() + mSize.plainInstances(); i++) {
            proxies.startProxy(mPorts.agentProxy(i), mPorts.agentRpc(i));
        }
        return this;
    }

    /** HTTP client for calls to the fleet. */
    public LoopbackHttpClient http() {
        return mHttp;
    }

    /** Size of the fleet. */
    public FleetSize size() {
        return mSize;
    }

    /** Directory of the processes' logs. */
    public Path logDirectory() {
        return mLogDirectory;
    }

    /** Starts the stand-ins, agents and entries, and waits until agents and entries are live. */
    public void startAll() {
        startStandins();
        for (int i = 0; i < mSize.engines() + mSize.plainInstances(); i++) {
            startAgent(i);
        }
        for (int i = 0; i < mSize.entries(); i++) {
            startEntry(i);
        }
        awaitLive();
    }

    /** Waits until all agents and entries report that they are live. */
    public void awaitLive() {
        for (int i = 0; i < mSize.engines() + mSize.plainInstances(); i++) {
            int port = mPorts.agentHttp(i);
            await("liveness of agent " + i, () -> mHttp.isOk(port, "/livez"));
        }
        for (int i = 0; i < mSize.entries(); i++) {
            int port = mPorts.entryHttp(i);
            await("liveness of entry " + i, () -> mHttp.isOk(port, "/livez"));
        }
    }

    /** Starts the stand-ins and waits until they answer. */
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
                        Integer.toString(mSize.engines()),
                        "--plain",
                        Integer.toString(mSize.plainInstances()),
                        "--engines-check-fencing",
                        Integer.toString(mSize.fencingEngines()),
                        "--list-lag-ms",
                        Long.toString(mSize.listLagMillis()),
                        "--loads-per-second",
                        Double.toString(mSize.loadsPerSecond()));
        start("standins", command);
        await("stand-ins", () -> mHttp.isOk(mPorts.instanceList(), "/v1/instances"));
    }

    /**
     * Starts the agent of a backend server and adds it to the instance list. The indexes of plain
     * service instances follow those of the engines.
     */
    public void startAgent(int index) {
        boolean isEngine = index < mSize.engines();
        List<String> command = roleCommand("agent", agentId(index));
        command.addAll(List.of("--rpc-port", Integer.toString(mPorts.agentRpc(index))));
        command.addAll(List.of("--http-port", Integer.toString(mPorts.agentHttp(index))));
        command.addAll(List.of("--backend-server", address(mPorts.backendServer(index))));
        command.addAll(List.of("--kind", isEngine ? Member.KIND_MODEL : Member.KIND_PLAIN));
        if (isEngine) {
            boolean checksFencing = index < mSize.fencingEngines();
            command.addAll(List.of("--engine-checks-fencing", Boolean.toString(checksFencing)));
        } else {
            command.addAll(List.of("--service", PLAIN_SERVICE));
        }
        start(agentId(index), command);
        putInInstanceList(agentMember(index, false));
    }

    /** Starts an entry and adds it to the instance list. */
    public void startEntry(int index) {
        List<String> command = roleCommand("entry", entryId(index));
        command.addAll(List.of("--rpc-port", Integer.toString(mPorts.entryRpc(index))));
        command.addAll(List.of("--http-port", Integer.toString(mPorts.entryHttp(index))));
        command.addAll(List.of("--operator-token", OPERATOR_TOKEN));
        start(entryId(index), command);
        putInInstanceList(
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

    private List<String> roleCommand(String role, String id) {
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
        boolean isEngine = index < mSize.engines();
        return new Member(
                agentId(index),
                Member.ROLE_AGENT,
                address(mProxies.isPresent() ? mPorts.agentProxy(index) : mPorts.agentRpc(index)),
                "r1",
                zone(index),
                leaving,
                isEngine ? Member.KIND_MODEL : Member.KIND_PLAIN,
                isEngine ? "" : PLAIN_SERVICE,
                isEngine ? ENGINE_MEMORY_BYTES : 0);
    }

    /** Marks an agent's instance as leaving in the platform's instance list. */
    public void markLeaving(int index) {
        putInInstanceList(agentMember(index, true));
    }

    /** Removes an instance from the platform's instance list. */
    public void removeFromInstanceList(String id) {
        mHttp.call("DELETE", mPorts.instanceList(), "/v1/instances/" + id, "");
    }

    private void putInInstanceList(Member member) {
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
    public int entryHttpPort(int index) {
        return mPorts.entryHttp(index);
    }

    /** HTTP port of an agent. */
    public int agentHttpPort(int index) {
        return mPorts.agentHttp(index);
    }

    /** HTTP port of the key-value service. */
    public int keyValueServicePort() {
        return mPorts.keyValueService();
    }

    /** HTTP port of the checkpoint store, which also serves the replica counts. */
    public int checkpointStorePort() {
        return mPorts.checkpointStore();
    }

    /** HTTP port of a backend server. */
    public int backendServerPort(int index) {
        return mPorts.backendServer(index);
    }

    private void start(String name, List<String> command) {
        try {
            Files.createDirectories(mLogDirectory);
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(
                            mLogDirectory.resolve(name + ".log").toFile()));
            mProcesses.put(name, builder.start());
        } catch (IOException e) {
            throw FleetPorts.unchecked(e);
        }
    }

    /** The process started under a name, or null if it was never started or the fleet ended it. */
    public Process process(String name) {
        return mProcesses.get(name);
    }

    /** Ends a process with SIGKILL and waits for its end. */
    public void kill(String name) {
        Process process = mProcesses.remove(name);
        process.destroyForcibly();
        awaitEnd(process);
    }

    /**
     * Sends SIGTERM to a process, waits for its end and returns its exit status, or -1 if the
     * calling thread is interrupted.
     */
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

    /** Suspends a process with SIGSTOP until {@link #resume} is called. */
    public void freeze(String name) {
        signal(name, "STOP");
    }

    /** Resumes a frozen process with SIGCONT. */
    public void resume(String name) {
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

    /** Calls a path below {@code /admin/v1}, the administration API of an entry. */
    public LoopbackHttpClient.Response callAdminApi(
            int entry, String method, String path, String body) {
        return mHttp.call(
                method,
                entryHttpPort(entry),
                "/admin/v1" + path,
                body,
                new LoopbackHttpClient.Header("Authorization", "Bearer " + OPERATOR_TOKEN),
                new LoopbackHttpClient.Header("X-Author", "demo"));
    }

    /** Stores a preset and switches to it; repeats each call until it succeeds, for up to 30 s. */
    public void activatePreset(String name, String presetJson) {
        awaitOk("preset put", () -> callAdminApi(0, "PUT", "/presets/" + name, presetJson));
        awaitOk(
                "switch",
                () -> callAdminApi(0, "POST", "/switch", "{\"preset\":\"" + name + "\"}"));
    }

    /** An HTTP call that can be repeated. */
    private interface Call {
        LoopbackHttpClient.Response make();
    }

    private void awaitOk(String description, Call call) {
        StringBuilder lastBody = new StringBuilder();
        await(
                description + lastBody,
                () -> {
                    LoopbackHttpClient.Response response = call.make();
                    lastBody.setLength(0);
                    lastBody.append(response.body());
                    return response.status() == 200;
                });
    }

    /**
     * Waits until a condition holds, checking it every 50 ms.
     *
     * @param description what the caller waits for; used in the message of the exception
     * @throws IllegalStateException if the condition does not hold within 30 seconds, or if the
     *     calling thread is interrupted
     */
    public static void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("timed out after 30 s waiting for " + description);
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
        mPorts.release();
    }
}
