import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one model server holds, and the orders that change it, as PROTOCOL.md says under Requests.
 *
 * <p>An adapter that no request uses is unloaded at once (200); another one keeps its place until
 * its runs have ended (202). A model is loaded from the weight store, which takes 6 s, or unloaded
 * once its runs have ended; meanwhile other orders get 409.
 */
final class EngineState {
    static final int ADAPTER_SLOTS = 8;

    /** Models of 72.7 GB that fit into the 230 GB of a server. */
    private static final int MODEL_PLACES = 3;

    private static final long LOAD_MILLIS = 6_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Bed mBed;
    private final String mId;
    private final Runnable mCrash;
    private final Runnable mOnModelsChanged;

    /** The adapters of each model. */
    private final Map<String, Set<String>> mModels = new LinkedHashMap<>();

    /** Whether a model is being loaded or unloaded. */
    private boolean mBusy;

    /** Models, and adapters as MODEL/NAME, that are unloaded once their runs have ended. */
    private final Set<String> mLeaving = new TreeSet<>();

    /** Runs in progress by model or MODEL/NAME. */
    private final Map<String, Integer> mActive = new HashMap<>();

    private long mSequence;
    private long mFence;
    private int mOvercommits;

    /**
     * @param crash called when a load is ordered beyond the places for models or adapters
     * @param onModelsChanged called when a model has been loaded or unloaded
     */
    EngineState(Bed bed, String id, Runnable crash, Runnable onModelsChanged, String... models) {
        mBed = bed;
        mId = id;
        mCrash = crash;
        mOnModelsChanged = onModelsChanged;
        for (String model : models) {
            mModels.put(model, new TreeSet<>());
        }
    }

    boolean isEngine() {
        return !mModels.isEmpty();
    }

    /** Puts an adapter there from the start. */
    synchronized void hold(String model, String adapter) {
        mModels.get(model).add(adapter);
    }

    /** The adapters of a model that are there now. */
    synchronized Set<String> adapters(String model) {
        return new TreeSet<>(mModels.get(model));
    }

    /** Number of loads that were ordered beyond the places for adapters. */
    synchronized int overcommits() {
        return mOvercommits;
    }

    private int adapterCount() {
        return mModels.values().stream().mapToInt(Set::size).sum();
    }

    private boolean holds(String target) {
        String[] words = target.split("/");
        Set<String> adapters = mModels.get(words[0]);
        return adapters != null && (words.length < 2 || adapters.contains(words[1]));
    }

    /** Begins a run; false if the model or adapter isn't there, or is leaving. */
    synchronized boolean begin(String target) {
        if (!holds(target)
                || mLeaving.contains(target)
                || mLeaving.contains(target.split("/")[0])) {
            return false;
        }
        mActive.merge(target, 1, Integer::sum);
        return true;
    }

    synchronized void end(String target) {
        mActive.merge(target, -1, Integer::sum);
        String model = target.split("/")[0];
        if (!isInUse(target) && mLeaving.contains(target)) {
            remove(target);
        }
        if (!isInUse(model) && mLeaving.contains(model)) {
            remove(model);
        }
    }

    /** Whether the adapter, or the model or any of its adapters, has runs in progress. */
    private boolean isInUse(String target) {
        return mActive.entrySet().stream()
                .filter(e -> e.getKey().equals(target) || e.getKey().startsWith(target + "/"))
                .anyMatch(e -> e.getValue() > 0);
    }

    private void remove(String target) {
        mLeaving.remove(target);
        String[] words = target.split("/");
        if (words.length > 1) {
            mModels.get(words[0]).remove(words[1]);
        } else {
            mModels.remove(target);
            mBusy = false;
            mOnModelsChanged.run();
        }
        mBed.record(mId + " has unloaded " + target);
    }

    synchronized String models() {
        StringBuilder text = new StringBuilder();
        mModels.forEach(
                (model, adapters) -> {
                    String names =
                            adapters.isEmpty() ? "" : "\"" + String.join("\",\"", adapters) + "\"";
                    text.append(text.length() == 0 ? "" : ",")
                            .append(
                                    "{\"Name\":\""
                                            + model
                                            + "\",\"Version\":1,\"Adapters\":["
                                            + names
                                            + "]}");
                });
        return "[" + text + "]";
    }

    synchronized String report(long born) {
        int active = mActive.values().stream().mapToInt(Integer::intValue).sum();
        return "{\"Stage\":\"unified\",\"Models\":"
                + models()
                + ",\"Busy\":"
                + mBusy
                + ",\"Seq\":"
                + mSequence
                + ",\"Queued\":0,\"Active\":"
                + active
                + ",\"KvUsed\":0,\"KvTotal\":84739,\"Handles\":0,"
                + "\"Pending\":[],\"born\":"
                + born
                + ",\"AtHand\":{\"InMemory\":[],\"OnDisk\":[]}}";
    }

    /** Carries out an order and returns the status of its answer. */
    synchronized String order(String body) throws IOException {
        JsonNode order = JSON.readTree(body);
        String status = status(order);
        mBed.record(
                "order at "
                        + mId
                        + " "
                        + body
                        + " -> "
                        + status
                        + "; adapters held "
                        + adapterCount()
                        + ", of these leaving "
                        + mLeaving.size());
        return status;
    }

    private String status(JsonNode order) {
        long fence = order.path("Fence").asLong();
        if (fence < mFence) {
            return "412 Precondition Failed";
        }
        mFence = fence;
        boolean isOutdated = order.has("Expected") && order.path("Expected").asLong() != mSequence;
        String model = order.path("Model").asText();
        String adapter = order.path("Adapter").asText();
        boolean isLoad = order.path("Operation").asText().equals("load");
        if (isOutdated || mBusy || !adapter.isEmpty() && !mModels.containsKey(model)) {
            return "409 Conflict";
        }
        if (adapter.isEmpty()) {
            return isLoad ? loadModel(model) : unloadModel(model);
        }
        return isLoad ? load(model, adapter) : unload(model, adapter);
    }

    private String loadModel(String model) {
        if (mModels.containsKey(model)) {
            return "200 OK";
        }
        mSequence++;
        if (mModels.size() >= MODEL_PLACES) {
            mOvercommits++;
            mBed.record("LIMIT: " + mId + " is ordered to load " + model + " without room for it");
            mCrash.run();
            return "202 Accepted";
        }
        mBusy = true;
        Thread load = new Thread(() -> finishLoad(model));
        load.setDaemon(true);
        load.start();
        return "202 Accepted";
    }

    private void finishLoad(String model) {
        try {
            Thread.sleep(LOAD_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            mModels.put(model, new TreeSet<>());
            mBusy = false;
        }
        mOnModelsChanged.run();
    }

    private String unloadModel(String model) {
        if (!mModels.containsKey(model)) {
            return "200 OK";
        }
        mSequence++;
        mBusy = true;
        mLeaving.add(model);
        if (!isInUse(model)) {
            remove(model);
        }
        return "202 Accepted";
    }

    private String load(String model, String adapter) {
        if (mModels.get(model).contains(adapter)) {
            return "200 OK";
        }
        mSequence++;
        if (adapterCount() >= ADAPTER_SLOTS) {
            mOvercommits++;
            mBed.record(
                    "LIMIT: "
                            + mId
                            + " is ordered to load "
                            + model
                            + "/"
                            + adapter
                            + " while its "
                            + ADAPTER_SLOTS
                            + " places for adapters are taken");
            mCrash.run();
            return "202 Accepted";
        }
        mModels.get(model).add(adapter);
        return "202 Accepted";
    }

    private String unload(String model, String adapter) {
        String target = model + "/" + adapter;
        if (!mModels.get(model).contains(adapter)) {
            return "200 OK";
        }
        mSequence++;
        if (mActive.getOrDefault(target, 0) > 0) {
            mLeaving.add(target);
            return "202 Accepted";
        }
        mModels.get(model).remove(adapter);
        return "200 OK";
    }
}
