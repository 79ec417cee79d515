import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** The platform's store, as PROTOCOL.md describes it. It can turn single machines away. */
final class Store implements AutoCloseable {
    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private static final class Lease {
        private final long mTtl;
        private long mUntil;

        private Lease(long ttl) {
            mTtl = ttl;
            renew();
        }

        private void renew() {
            mUntil = System.nanoTime() / 1_000_000 + mTtl;
        }
    }

    /** The servers by the machine that they serve, so that the store can turn one away. */
    private final Map<String, HttpServer> mServers = new HashMap<>();
    private final Set<String> mTurnedAway = ConcurrentHashMap.newKeySet();
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mNextLease = 1;

    Store() {
        Bed.thread("store-expiry", this::expire);
    }

    /** The address of the store for a machine. */
    synchronized int port(String machine) throws IOException {
        HttpServer server = mServers.get(machine);
        if (server == null) {
            InetAddress host = InetAddress.getLoopbackAddress();
            server = HttpServer.create(new InetSocketAddress(host, 0), 200);
            server.createContext("/", exchange -> handle(machine, exchange));
            server.setExecutor(
                    Executors.newCachedThreadPool(
                            task -> {
                                Thread thread = new Thread(task, "store");
                                thread.setDaemon(true);
                                return thread;
                            }));
            server.start();
            mServers.put(machine, server);
        }
        return server.getAddress().getPort();
    }

    /** Answers a machine 503 from now on, also what it waits for, or serves it again. */
    synchronized void turnAway(String machine, boolean away) {
        if (away) {
            mTurnedAway.add(machine);
        } else {
            mTurnedAway.remove(machine);
        }
        notifyAll();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                new ArrayList<>(mLeases.keySet())
                        .forEach(id -> endLeaseIf(id, mLeases.get(id).mUntil <= now));
            }
            Bed.sleep(10);
        }
    }

    private void endLeaseIf(long id, boolean ends) {
        if (ends && mLeases.remove(id) != null) {
            new ArrayList<>(mItems.keySet())
                    .forEach(
                            key -> {
                                if (mItems.get(key).lease() == id) {
                                    remove(key);
                                }
                            });
        }
    }

    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** The value of a key as text; empty if there is none. */
    synchronized String text(String key) {
        Item item = mItems.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    private void put(String key, byte[] value, long lease) {
        mRevision++;
        Item before = mItems.get(key);
        Item item = new Item(value, mRevision, before == null ? mRevision : before.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(key, mRevision, item));
        notifyAll();
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mEvents.add(new Event(key, mRevision, null));
            notifyAll();
        }
    }

    private void handle(String machine, HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        StringBuilder reply = new StringBuilder();
        int status;
        try {
            status =
                    answer(
                            machine,
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            query,
                            new String(body, StandardCharsets.UTF_8),
                            reply);
        } catch (InterruptedException e) {
            return;
        }
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    private synchronized int answer(
            String machine,
            String method,
            String path,
            Map<String, String> query,
            String body,
            StringBuilder reply)
            throws InterruptedException {
        if (mTurnedAway.contains(machine)) {
            return 503;
        }
        long id = path.matches(".*/[0-9]+") ? Long.parseLong(path.replaceAll(".*/", "")) : 0;
        if (path.equals("/kv-key")) {
            Item item = mItems.get(query.get("Key"));
            if (item == null) {
                return 404;
            }
            reply.append(json(query.get("Key"), item, ",\"CurrentRev\":" + mRevision));
            return 200;
        } else if (path.equals("/kv-range")) {
            return range(query.get("Prefix"), query.getOrDefault("after", ""), reply);
        } else if (path.equals("/kv-watch")) {
            return watch(machine, query, reply);
        } else if (path.equals("/kv-txn")) {
            return transaction(Json.object(body), reply);
        } else if (path.equals("/kv-lease")) {
            long ttl = ((Double) Json.object(body).get("TtlMs")).longValue();
            mLeases.put(mNextLease, new Lease(ttl));
            reply.append("{\"Lease\":" + mNextLease++ + ",\"TtlMs\":" + ttl + "}");
            return 200;
        } else if (path.startsWith("/kv-keep/")) {
            Lease lease = mLeases.get(id);
            if (lease == null) {
                return 404;
            }
            lease.renew();
            reply.append("{\"TtlMs\":" + lease.mTtl + "}");
            return 200;
        } else if (method.equals("DELETE") && path.startsWith("/kv-lease-end/")) {
            endLeaseIf(id, true);
            reply.append("{}");
            return 200;
        }
        return 404;
    }

    private static String json(String key, Item item, String more) {
        return "{\"Key\":\""
                + key
                + "\",\"Value\":\""
                + Base64.getEncoder().encodeToString(item.value())
                + "\",\"Revision\":"
                + item.revision()
                + ",\"Created\":"
                + item.created()
                + ",\"Lease\":"
                + item.lease()
                + more
                + "}";
    }

    private int range(String prefix, String after, StringBuilder reply) {
        List<String> items = new ArrayList<>();
        mItems.tailMap(prefix)
                .forEach(
                        (key, item) -> {
                            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                                items.add(json(key, item, ""));
                            }
                        });
        reply.append("{\"items\":[" + String.join(",", items));
        reply.append("],\"HasMore\":false,\"CurrentRev\":" + mRevision + "}");
        return 200;
    }

    private int watch(String machine, Map<String, String> query, StringBuilder reply)
            throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("WaitMs"));
        List<String> events = new ArrayList<>();
        while (true) {
            for (Event event : mEvents) {
                if (event.revision() > after && event.key().startsWith(query.get("Prefix"))) {
                    events.add(
                            event.item() == null
                                    ? "{\"Key\":\""
                                            + event.key()
                                            + "\",\"Revision\":"
                                            + event.revision()
                                            + ",\"Deleted\":true}"
                                    : json(event.key(), event.item(), ""));
                }
            }
            if (mTurnedAway.contains(machine)) {
                return 503;
            }
            long left = until - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                break;
            }
            wait(left);
        }
        reply.append("{\"events\":[" + String.join(",", events));
        reply.append("],\"CurrentRev\":" + mRevision + "}");
        return 200;
    }

    @SuppressWarnings("unchecked")
    private int transaction(Map<String, Object> call, StringBuilder reply) {
        boolean matches = true;
        List<String> items = new ArrayList<>();
        for (Object each : (List<Object>) call.get("Expected")) {
            Map<String, Object> row = (Map<String, Object>) each;
            Item item = mItems.get(row.get("Key"));
            long expected = ((Double) row.get("Revision")).longValue();
            matches &= expected == (item == null ? 0 : item.revision());
            items.add(item == null ? "{}" : json((String) row.get("Key"), item, ""));
        }
        if (!matches) {
            reply.append("{\"items\":[" + String.join(",", items) + "]}");
            return 412;
        }
        List<Object> puts = (List<Object>) call.get("Puts");
        for (Object each : puts) {
            Object lease = ((Map<String, Object>) each).get("Lease");
            long id = lease == null ? 0 : ((Double) lease).longValue();
            if (id != 0 && !mLeases.containsKey(id)) {
                return 404;
            }
        }
        for (Object each : puts) {
            Map<String, Object> row = (Map<String, Object>) each;
            Object lease = row.get("Lease");
            put(
                    (String) row.get("Key"),
                    Base64.getDecoder().decode((String) row.get("Value")),
                    lease == null ? 0 : ((Double) lease).longValue());
        }
        for (Object key : (List<Object>) call.get("Remove")) {
            remove((String) key);
        }
        reply.append("{\"Revision\":" + mRevision + "}");
        return 200;
    }

    @Override
    public void close() {
        mServers.values().forEach(server -> server.stop(0));
    }
}
