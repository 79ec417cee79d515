import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.cornelway.standin.platform.PlatformStoreStandin;

/**
 * A small deployment on loopback addresses: the project's stand-in of the platform's store, backend
 * servers in this process, and direct entries as separate processes.
 *
 * <p>The entries are started with the run line, the environment and the settings template of
 * deploy/system.toml. {@link #close} ends all processes that were started.
 */
final class Bed implements AutoCloseable {
    static final String HOST = "review.example";
    static final String ENGINES = "engines";
    static final String PLAIN = "plain";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long READY_TIMEOUT_MILLIS = 20_000;

    /** What the script writes: sends, answers and runs, with the milliseconds since the start. */
    private final PrintWriter mRecord;

    private final long mStartNanos = System.nanoTime();
    private final Path mRoot = Path.of("").toAbsolutePath();
    private final Path mDirectory;
    private final Vertx mVertx = Vertx.vertx();
    private final PlatformStoreStandin mStore = new PlatformStoreStandin(mVertx);
    private final List<BackendServer> mServers = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private volatile boolean mClosing;

    /** An entry and its ports. */
    static final class Entry {
        final String mName;
        final int mFront;
        final int mReady;
        final int mControl;
        Process mProcess;

        Entry(String name, int front, int ready, int control) {
            mName = name;
            mFront = front;
            mReady = ready;
            mControl = control;
        }
    }

    /** Limits and bounds are those of the sheet of Belhaj Showcase Humidity Log Migration. */
    Bed(Path recordFile, int entryCount) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        mDirectory = Files.createTempDirectory("review");
        for (int i = 0; i < entryCount; i++) {
            int[] ports = freePorts(3);
            mEntries.add(new Entry("front-" + i, ports[0], ports[1], ports[2]));
        }
        // Ends the entries also if the script itself is ended before its time.
        Runtime.getRuntime().addShutdownHook(new Thread(this::killEntries));
    }

    /** A case: returns 1 if the rule was broken, else 0. */
    interface Case {
        int run(Bed bed) throws Exception;
    }

    /** Plays a case and ends all processes; returns 2 if the case could not run. */
    static int play(String recordFile, int entryCount, Case body) {
        try (Bed bed = new Bed(Path.of(recordFile), entryCount)) {
            return body.run(bed);
        } catch (Exception e) {
            e.printStackTrace();
            return 2;
        }
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            ports[i] = socket.getLocalPort();
            sockets.add(socket);
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }

    /** Writes a line to record.txt. */
    synchronized void record(String line) {
        mRecord.printf("%6d %s%n", millis(), line);
    }

    PlatformStoreStandin store() {
        return mStore;
    }

    List<Entry> entries() {
        return mEntries;
    }

    Entry entry(int index) {
        return mEntries.get(index);
    }

    BackendServer addServer(
            String service, String id, BackendServer.Behavior behavior, String... models)
            throws IOException {
        BackendServer server = new BackendServer(this, service, id, behavior, models);
        mServers.add(server);
        announce(server, "ready", 1);
        return server;
    }

    void announce(BackendServer server, String state, long sequence) {
        if (mClosing) {
            return;
        }
        byte[] value = server.announcement(state, sequence);
        mStore.withState(s -> s.put("servers/" + server.id(), value, 0));
    }

    /** Writes a config with the four routes below; the caller may add to it. */
    ObjectNode newConfig(long version) {
        ObjectNode root = JSON.createObjectNode().put("Version", version);
        ArrayNode routes = root.putArray("Routes");
        addRoute(routes, "/safe/", "safe", PLAIN, 2, 1_500).put("TargetLatencyMs", 300);
        addRoute(routes, "/unsafe/", "unsafe", PLAIN, 1, 1_500).put("TargetLatencyMs", 300);
        addRoute(routes, "/resume/", "streaming", ENGINES, 2, 12_000)
                .put("CanResume", true)
                .put("Sticky", true);
        addRoute(routes, "/stream/", "streaming", ENGINES, 1, 20_000)
                .put("CanResume", false)
                .put("Sticky", true);
        ArrayNode services = root.putArray("Services");
        services.addObject().put("Name", PLAIN).put("HealthPath", "/health").put("MaxConns", 110);
        ObjectNode engine =
                services.addObject()
                        .put("Name", ENGINES)
                        .put("HealthPath", "/health")
                        .put("MaxConns", 250)
                        .putObject("Engine");
        engine.put("Slots", 64).put("KvCapacity", 84_739).put("WeightsSize", 230_000.0);
        engine.put("AdapterSlots", 8).put("HostMb", 150_000.0).put("LoadsPerS", 3.6);
        ArrayNode models = engine.putArray("Models");
        for (String name : List.of("m1", "m2", "m3")) {
            models.addObject()
                    .put("Name", name)
                    .put("WeightsSize", 72_700.0)
                    .put("LoadS", 6.0)
                    .put("DiskS", 0.61)
                    .put("WarmS", 0.47)
                    .put("Adapters", 0)
                    .put("AdapterMb", 66.0);
        }
        root.putObject("Limits")
                .put("MaxHeaderBytes", 16_384)
                .put("MaxBodyBytes", 4_194_304)
                .put("HeaderTimeoutMs", 3_000)
                .put("IdleTimeoutMs", 15_000);
        return root;
    }

    static ObjectNode addRoute(
            ArrayNode routes,
            String prefix,
            String kind,
            String service,
            int attempts,
            int timeout) {
        return routes.addObject()
                .put("Name", "r" + prefix.replace('/', '-'))
                .put("Host", HOST)
                .put("Prefix", prefix)
                .put("Kind", kind)
                .put("TimeoutMs", timeout)
                .put("TargetLatencyMs", 1_000)
                .put("Priority", 1)
                .put("Service", service)
                .put("MaxAttempts", attempts)
                .put("TargetGapMs", 200);
    }

    void putConfig(ObjectNode config) throws IOException {
        byte[] value = JSON.writeValueAsBytes(config);
        mStore.withState(state -> state.put("op/config", value, 0));
    }

    /** Starts an entry as deploy/system.toml says. */
    void start(Entry entry) throws IOException {
        String deploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        String run = deploy.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
        Path settings = mDirectory.resolve(entry.mName + ".json");
        Files.write(settings, JSON.writeValueAsBytes(settings(entry)));
        ProcessBuilder builder = new ProcessBuilder(run.split(" ")).directory(mRoot.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CORNELWAY_SETTINGS", settings.toString());
        environment.put("CORNELWAY_CLUSTER_KEY", "entries-of-one-deployment");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(entry).toFile()));
        entry.mProcess = builder.start();
        entry.mProcess.onExit().thenAccept(process -> recordEnd(entry, process));
        record("start " + entry.mName);
    }

    /** Records an end that this bed has not asked for, with the end of the entry's log. */
    private void recordEnd(Entry entry, Process process) {
        if (mClosing) {
            return;
        }
        record(entry.mName + " has ended by itself with code " + process.exitValue());
        try {
            List<String> lines = Files.readAllLines(log(entry));
            lines.subList(Math.max(0, lines.size() - 30), lines.size()).forEach(this::record);
        } catch (IOException e) {
            record("its log can't be read: " + e.getMessage());
        }
    }

    Path log(Entry entry) {
        return mDirectory.resolve(entry.mName + ".log");
    }

    private ObjectNode settings(Entry entry) {
        ObjectNode root =
                JSON.createObjectNode()
                        .put("NodeName", entry.mName)
                        .put("Role", "entry")
                        .put("MachineClass", "front")
                        .put("Ip", "127.0.0.1")
                        .put("Zone", "tn-nord-a")
                        .put("Region", "tn-nord")
                        .put("Bootstrap", true)
                        .put("HeartbeatMs", 1_200);
        root.putArray("Seeds").add("127.0.0.1:" + mEntries.get(0).mControl);
        root.putObject("Listen")
                .put("Front", "127.0.0.1:" + entry.mFront)
                .put("Ready", "127.0.0.1:" + entry.mReady)
                .put("Control", "127.0.0.1:" + entry.mControl);
        root.putObject("Limits").put("CpuShare", 0.57).put("CpuCores", 1).put("MemoryMb", 430);
        root.putObject("Platform")
                .put("Address", "127.0.0.1:" + mStore.port())
                .put("form", "kv")
                .put("WritesPerS", 400)
                .put("ReadsPerS", 2_000)
                .put("TtlMinMs", 1_000);
        root.putObject("Bounds")
                .put("StableMs", 3_000)
                .put("DrainMs", 2_000)
                .put("GraceS", 8)
                .put("LossSlackMs", 200)
                .put("ConfigApplyMs", 2_000)
                .put("RetryBudgetRatio", 0.2)
                .put("RetryWindowS", 10)
                .put("RetrySlack", 58)
                .put("LeaseMs", 3_000);
        return root;
    }

    /** Waits until an entry says that it is ready; fails after 20 s. */
    void awaitReady(Entry entry) throws InterruptedException {
        long end = millis() + READY_TIMEOUT_MILLIS;
        while (!isReady(entry)) {
            if (millis() > end) {
                throw new IllegalStateException(entry.mName + " is not ready");
            }
            Thread.sleep(50);
        }
        record(entry.mName + " is ready");
    }

    static boolean isReady(Entry entry) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", entry.mReady), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(
                            "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            byte[] head = socket.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to an entry that this bed started. */
    void signal(Entry entry, String signal) throws IOException, InterruptedException {
        record("SIG" + signal + " to " + entry.mName + " at " + System.currentTimeMillis());
        new ProcessBuilder("kill", "-" + signal, Long.toString(entry.mProcess.pid()))
                .start()
                .waitFor();
    }

    @Override
    public void close() {
        mClosing = true;
        if ("1".equals(System.getenv("KEEP_LOGS"))) {
            // The last lines of a log are written as the process stops.
            started().forEach(Process::destroy);
            started().forEach(process -> process.onExit().join());
        }
        killEntries();
        mStore.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
        if ("1".equals(System.getenv("KEEP_LOGS"))) {
            System.out.println("logs: " + mDirectory);
        } else {
            deleteDirectory();
        }
        mRecord.close();
    }

    private List<Process> started() {
        return mEntries.stream().map(entry -> entry.mProcess).filter(Objects::nonNull).toList();
    }

    private void killEntries() {
        started().forEach(Process::destroyForcibly);
        started().forEach(process -> process.onExit().join());
    }

    private void deleteDirectory() {
        try (var files = Files.list(mDirectory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(mDirectory);
        } catch (IOException e) {
            // A later clean-up of the temporary folder takes it.
        }
    }
}
