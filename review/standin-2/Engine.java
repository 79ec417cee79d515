import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A model engine that doesn't check fences. Holds three models at its start. Records the order of all orders
 * that arrive.
 */
final class Engine {
    /** Time of a load from the weight store, and of an adapter. */
    private static final long LOAD_MILLIS = 6_000;

    /** An order that has arrived. */
    record Order(long millis, String holder, long fence) {}

    private final Bed mBed;
    private final Map<String, List<String>> mModels = new TreeMap<>();
    private final Server mServer;
    private long mSeq;
    private long mBusyUntil;
    private String mLoading = "";
    private long mHighestFence;
    private final List<Order> mOrders = new ArrayList<>();

    Engine(Bed bed, String id) throws IOException {
        mBed = bed;
        for (String model : List.of("m1", "m2", "m3")) {
            mModels.put(model, new ArrayList<>());
        }
        mServer = new Server(id, this::handle);
    }

    private synchronized void settle() {
        if (!mLoading.isEmpty() && mBed.millis() >= mBusyUntil) {
            mModels.put(mLoading, new ArrayList<>());
            mLoading = "";
        }
    }

    /** All orders that have arrived, the first one first. */
    synchronized List<Order> orders() {
        return new ArrayList<>(mOrders);
    }

    Server server() {
        return mServer;
    }

    /** What the engine says of itself in the store. */
    String announcement(int port) {
        return "{\"Service\":\"assist\",\"Address\":\"127.0.0.1:" + port
                + "\",\"Zone\":\"aveiro\",\"Version\":\"v1\",\"Slots\":32,"
                + "\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"unified\",\"Models\":"
                + models() + ",\"Seq\":1,\"born\":" + mServer.born() + "}";
    }

    /** A config with one route to engines that hold three models. */
    static String config() {
        StringBuilder models = new StringBuilder();
        for (String model : List.of("m1", "m2", "m3")) {
            models.append(models.length() == 0 ? "" : ",")
                    .append("{\"Name\":\"" + model + "\",\"WeightsSize\":72700.0,\"LoadS\":6.0,")
                    .append("\"Adapters\":38,\"AdapterMb\":66.0,\"WarmS\":0.47,\"DiskS\":0.61}");
        }
        return "{\"Version\":3,\"Routes\":[{\"Name\":\"r-sum\",\"Host\":\"" + Bed.HOST
                + "\",\"Prefix\":\"/lohu930/\",\"Kind\":\"streaming\",\"TimeoutMs\":12000,"
                + "\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\"assist\",\"MaxAttempts\":2,"
                + "\"Sticky\":true,\"CanResume\":true,\"TargetGapMs\":200}],\"Services\":[{\"Name\":"
                + "\"assist\",\"HealthPath\":\"/health\",\"MaxConns\":250,\"Engine\":{\"Slots\":32,"
                + "\"KvCapacity\":84739,\"HostMb\":150000.0,\"DiskMb\":940000.0,\"Models\":["
                + models + "],\"WeightsSize\":230000.0,\"AdapterSlots\":8,\"LoadsPerS\":3.6}}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    private synchronized String models() {
        settle();
        StringBuilder text = new StringBuilder();
        mModels.forEach(
                (model, adapters) ->
                        text.append(text.length() == 0 ? "" : ",")
                                .append("{\"Name\":\"" + model + "\",\"Version\":1,")
                                .append("\"Adapters\":[")
                                .append(
                                        adapters.isEmpty()
                                                ? ""
                                                : "\"" + String.join("\",\"", adapters) + "\"")
                                .append("]}"));
        return "[" + text + "]";
    }

    private void handle(Http request, Socket channel) throws IOException {
        if (request.word(1).equals("/report")) {
            byte[] body;
            synchronized (this) {
                body =
                        ("{\"Stage\":\"unified\",\"Models\":" + models() + ",\"Busy\":"
                                        + !mLoading.isEmpty() + ",\"Seq\":" + mSeq
                                        + ",\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":"
                                        + "84739,\"Handles\":0,\"born\":" + mServer.born() + "}")
                                .getBytes(StandardCharsets.UTF_8);
            }
            mServer.reply(
                    channel, request, "200 OK", "Content-Type: application/json\r\n", body);
        } else if (request.word(1).equals("/order")) {
            String status = order(new String(request.body(), StandardCharsets.UTF_8));
            mServer.reply(channel, request, status, "", new byte[0]);
        } else {
            stream(request, channel);
        }
    }

    private synchronized String order(String body) {
        settle();
        Map<String, Object> order = Json.object(body);
        long fence = ((Double) order.get("Fence")).longValue();
        long expected = ((Double) order.get("Expected")).longValue();
        String model = (String) order.get("Model");
        String adapter = (String) order.getOrDefault("Adapter", "");
        boolean isLoad = order.get("Operation").equals("load");
        String status;
        boolean isThere =
                mModels.containsKey(model)
                        && (adapter.isEmpty() || mModels.get(model).contains(adapter));
        if (expected != mSeq || !mLoading.isEmpty() && adapter.isEmpty()) {
            status = "409 Conflict";
        } else if (isLoad == isThere) {
            status = "200 OK";
        } else {
            mSeq++;
            status = "202 Accepted";
            if (!adapter.isEmpty()) {
                List<String> adapters = mModels.get(model);
                boolean changed = isLoad ? adapters.add(adapter) : adapters.remove(adapter);
            } else if (isLoad) {
                mLoading = model;
                mBusyUntil = mBed.millis() + LOAD_MILLIS;
            } else {
                mModels.remove(model);
            }
        }
        boolean isLower = fence < mHighestFence;
        mOrders.add(new Order(mBed.millis(), (String) order.get("Holder"), fence));
        mHighestFence = Math.max(mHighestFence, fence);
        mBed.note("order", mServer.id() + " holder " + order.get("Holder") + " fence " + fence
                + " " + order.get("Operation") + " " + model + " " + adapter + " expected "
                + expected + " -> " + status
                + (isLower ? "  LOWER GENERATION NUMBER AFTER A HIGHER ONE" : ""));
        return status;
    }

    private void stream(Http request, Socket channel) throws IOException {
        String model = request.header("X-Model").replaceAll("/.*", "");
        synchronized (this) {
            settle();
            if (!mModels.containsKey(model)) {
                mServer.reply(channel, request, "421 Misdirected Request", "", new byte[0]);
                return;
            }
        }
        mServer.reply(
                channel,
                request,
                "200 OK",
                "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n",
                "id: 1\ndata: x\n\nid: 2\ndata: y\n\n".getBytes(StandardCharsets.UTF_8));
    }
}
