import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send bodies of MaxBodyBytes while others release submissions to press at servers that
 * work as usual. All bodies together stay under the 140 Mbit/s of the entry's link.
 *
 * <p>Two plays, each in waves: in "slow", twelve consumers send one body each, and the disruption
 * is that the servers of these bodies read slowly. In "burst", ten consumers do so at a time, and
 * the disruption is a burst of 2.4 times as many.
 */
final class LargeBodies {
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int SLOW_BODIES = 12;
    private static final long SLOW_PART_MILLIS = 47;
    private static final int USUAL_BODIES = 10;
    private static final int BURST_BODIES = 24;
    private static final int PART_BYTES = 65_536;
    private static final long BURST_PART_MILLIS = 94;
    private static final int SLOW_BYTES_PER_SECOND = 300_000;
    private static final int CONSUMERS = 24;
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long CONSUMER_MILLIS = 4_000;
    private static final long SLACK_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;

    /** Waves of large bodies; the play ends behind the first one at which the rule is broken. */
    private static final int WAVES = 5;

    private static final long WAVE_MILLIS = 13_000;

    private final Bed mBed;
    private final boolean mTrouble;
    private final boolean mBurst;
    private final Map<String, String> mRuns = new ConcurrentHashMap<>();
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicBoolean mStop = new AtomicBoolean();
    private final AtomicInteger mAnswered = new AtomicInteger();

    /** Requests that lasted longer than their route's TimeoutMs. */
    private final AtomicInteger mLong = new AtomicInteger();

    /** Those without a final answer half a second after it. */
    private final AtomicInteger mUnanswered = new AtomicInteger();

    private LargeBodies(Bed bed, boolean burst, boolean trouble) {
        mBed = bed;
        mBurst = burst;
        mTrouble = trouble;
    }

    public static void main(String[] words) {
        boolean burst = words[2].equals("burst");
        Bed.play(words, bed -> new LargeBodies(bed, burst, Bed.hasTrouble()).run());
    }

    private static String route(String prefix, String service, long timeoutMillis) {
        return "{\"Name\":\"r" + prefix.replace('/', '-') + "\",\"Host\":\"" + Bed.HOST
                + "\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"unsafe\",\"TimeoutMs\":"
                + timeoutMillis + ",\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\""
                + service + "\",\"MaxAttempts\":1}";
    }

    private static String config() {
        return "{\"Version\":3,\"Routes\":[" + route("/press/", "press-desk", TIMEOUT_MILLIS) + ","
                + route("/proofs/", "proof-desk", 12_000) + "],\"Services\":["
                + "{\"Name\":\"press-desk\",\"HealthPath\":\"/health\",\"MaxConns\":190},"
                + "{\"Name\":\"proof-desk\",\"HealthPath\":\"/health\",\"MaxConns\":190}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + MAX_BODY_BYTES
                + ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    private void addServer(String id, String service, int bytesPerSecond) throws IOException {
        Server[] self = new Server[1];
        self[0] = new Server(id, (request, channel) -> handle(self[0], request, channel));
        self[0].readSlowly(bytesPerSecond);
        mBed.store()
                .put(
                        "servers/" + id,
                        "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:"
                                + self[0].port() + "\",\"Zone\":\"aveiro\",\"Version\":\"v1\","
                                + "\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,"
                                + "\"born\":" + self[0].born() + "}");
    }

    private int run() throws Exception {
        mBed.store().put("op/config", config());
        for (int i = 1; i <= 4; i++) {
            addServer("i-press-" + i, "press-desk", 0);
            addServer("i-proof-" + i, "proof-desk", mTrouble && !mBurst ? SLOW_BYTES_PER_SECOND : 0);
        }
        Bed.Entry entry = mBed.entry("front-aveiro-1");
        entry.start(0.63);
        entry.awaitReady();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            int consumer = i;
            threads.add(Bed.thread("consumer", () -> release(entry.front(), consumer)));
        }
        Bed.sleep(5_000);
        if (mBurst) {
            upload(entry.front(), USUAL_BODIES, threads);
            Bed.sleep(7_000);
        }
        mBed.note("usual", summary());
        if (mLong.get() > 0) {
            mBed.note("end", "requests were late before the disruption");
            return 2;
        }
        for (int wave = 0; wave < WAVES && !isBroken(); wave++) {
            if (mBurst) {
                upload(entry.front(), mTrouble ? BURST_BODIES : USUAL_BODIES, threads);
            } else {
                mBed.note("servers", "of proof-desk read "
                        + (mTrouble ? SLOW_BYTES_PER_SECOND + " bytes a second" : "at once"));
                upload(entry.front(), SLOW_BODIES, threads);
            }
            Bed.sleep(WAVE_MILLIS);
            mBed.note("wave", summary());
        }
        mStop.set(true);
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        mBed.note("end", summary() + "; the process is alive: " + entry.process().isAlive());
        return isBroken() || !entry.process().isAlive() ? 1 : 0;
    }

    private boolean isBroken() {
        return mUnanswered.get() >= MIN_UNANSWERED && mUnanswered.get() > mLong.get() / 4.0;
    }

    private long partMillis() {
        return mBurst ? BURST_PART_MILLIS : SLOW_PART_MILLIS;
    }

    private String summary() {
        return mAnswered + " requests of /press/ answered in time; " + mLong
                + " lasted longer than TimeoutMs, " + mUnanswered
                + " of these had no final answer " + SLACK_MILLIS + " ms after it";
    }

    private void handle(Server server, Http request, Socket channel) throws IOException {
        String id = request.header("X-Request-Id");
        mRuns.put(id, server.id());
        mBed.note("run", id + " at " + server.id() + ", body of " + request.body().length);
        Bed.sleep(69);
        server.reply(
                channel,
                request,
                "200 OK",
                "X-Server-Stamp: " + id + "\r\nX-Server-Load: 1,0,6\r\n",
                new byte[800]);
    }

    /** Sends requests one after the other on a kept channel. */
    private void release(int port, int consumer) {
        Bed.sleep(consumer * 10);
        while (!mStop.get()) {
            try (Socket channel = Bed.connect(port)) {
                channel.setSoTimeout((int) CONSUMER_MILLIS);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                while (!mStop.get()) {
                    String id = id(consumer);
                    long sent = mBed.millis();
                    Http reply;
                    try {
                        send(channel, "/press/2f", id, CONSUMER_MILLIS, new byte[600]);
                        reply = Http.read(in);
                    } catch (IOException e) {
                        record(id, sent, "no answer: " + e.getMessage());
                        throw e;
                    }
                    record(id, sent, reply == null ? "channel closed" : reply.firstLine());
                    if (reply == null || reply.header("Connection").equalsIgnoreCase("close")) {
                        break;
                    }
                    Bed.sleep(250);
                }
            } catch (IOException e) {
                Bed.sleep(100);
            }
        }
    }

    private void record(String id, long sent, String outcome) {
        long millis = mBed.millis() - sent;
        if (millis <= TIMEOUT_MILLIS) {
            mAnswered.incrementAndGet();
        } else {
            mLong.incrementAndGet();
            if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
                mUnanswered.incrementAndGet();
            }
        }
        mBed.note(
                millis <= TIMEOUT_MILLIS ? "answer" : "LATE",
                id + " after " + millis + " ms: " + outcome + "; run by "
                        + mRuns.getOrDefault(id, "no server"));
    }

    private void upload(int port, int consumers, List<Thread> threads) {
        mBed.note("large", consumers + " consumers send a body of " + MAX_BODY_BYTES
                + " bytes each, " + PART_BYTES + " bytes every " + partMillis() + " ms");
        for (int i = 0; i < consumers; i++) {
            int consumer = 100 + i;
            threads.add(Bed.thread("large", () -> upload(port, consumer)));
        }
    }

    private void upload(int port, int consumer) {
        String id = id(consumer);
        try (Socket channel = Bed.connect(port)) {
            channel.setSoTimeout(12_500);
            byte[] body = new byte[MAX_BODY_BYTES];
            mBed.note("send", id + " body of " + body.length);
            send(channel, "/proofs/2f", id, 12_000, body);
            Http reply = Http.read(new BufferedInputStream(channel.getInputStream()));
            mBed.note("answer", id + " "
                    + (reply == null
                            ? "none"
                            : reply.firstLine() + " "
                                    + (reply.status() == 200
                                            ? ""
                                            : new String(reply.body(), StandardCharsets.UTF_8))));
        } catch (IOException e) {
            mBed.note("answer", id + " none: " + e.getMessage());
        }
    }

    private String id(int consumer) {
        return String.format("%03d-%06d", consumer, mIds.incrementAndGet());
    }

    private void send(Socket channel, String path, String id, long millis, byte[] body)
            throws IOException {
        Bed.send(channel, "POST " + path + " HTTP/1.1\r\nHost: " + Bed.HOST
                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + millis
                + "\r\nContent-Length: " + body.length + "\r\n\r\n");
        for (int at = 0; at < body.length; at += PART_BYTES) {
            channel.getOutputStream().write(body, at, Math.min(PART_BYTES, body.length - at));
            if (body.length > PART_BYTES) {
                Bed.sleep(partMillis());
            }
        }
        channel.getOutputStream().flush();
    }
}
