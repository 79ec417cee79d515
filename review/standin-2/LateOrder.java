import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Two entries are stopped and started in turn, each as it is the controller, while the packet with
 * one of its orders is lost once on the way to an engine, and sent again by TCP.
 */
final class LateOrder {
    /** Time after which TCP sends a lost packet again: the least that Linux waits. */
    private static final long RESEND_MILLIS = 200;

    /** Stops in turn; the play ends at the first one at which the rule is broken. */
    private static final int STOPS = 8;

    /** Time from the start of an entry to the next orders, longer than LeaseMs. */
    private static final long SETTLE_MILLIS = 4_000;

    /** Time after a stop in which orders may come late. */
    private static final long LATE_MILLIS = 2_000;

    private final Bed mBed;
    private final boolean mTrouble;
    private final AtomicBoolean mHeld = new AtomicBoolean();
    private Bed.Entry mController;

    private LateOrder(Bed bed, boolean trouble) {
        mBed = bed;
        mTrouble = trouble;
    }

    public static void main(String[] words) {
        Bed.play(words, bed -> new LateOrder(bed, Bed.hasTrouble()).run());
    }

    /** Passes on the channels to an engine; holds one order of the first entry back. */
    private final class Link {
        private final ServerSocket mSocket =
                new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        private final int mTo;

        private Link(int to) throws IOException {
            mTo = to;
            Bed.thread("link", this::accept);
        }

        private void accept() {
            while (true) {
                try {
                    Socket from = mSocket.accept();
                    Socket to = Bed.connect(mTo);
                    Bed.thread("there", () -> copy(from, to, true));
                    Bed.thread("back", () -> copy(to, from, false));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void copy(Socket from, Socket to, boolean isThere) {
            byte[] buffer = new byte[65_536];
            try {
                InputStream in = from.getInputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (isThere) {
                        hold(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
                    }
                    to.getOutputStream().write(buffer, 0, n);
                    to.getOutputStream().flush();
                }
                to.shutdownOutput();
            } catch (IOException e) {
                // One end has closed.
            }
        }
    }

    private void hold(String packet) throws IOException {
        if (!packet.contains("\"Operation\"") || !mHeld.compareAndSet(false, true)) {
            return;
        }
        mBed.note("on its way", packet.substring(packet.indexOf("{\"Op")));
        try {
            mController.signal("TERM");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (mTrouble) {
            Bed.sleep(RESEND_MILLIS);
            mBed.note(
                    "link",
                    "the packet is sent again and arrives, " + RESEND_MILLIS + " ms later");
        }
    }

    private int run() throws Exception {
        mBed.store().put("op/config", Engine.config());
        Engine engine = new Engine(mBed, "i-1");
        int port = new Link(engine.server().port()).mSocket.getLocalPort();
        mBed.store().put("servers/i-1", engine.announcement(port).replace("aveiro", "agueda"));
        mHeld.set(true);
        mController = mBed.entry("front-1");
        mController.start(0.57);
        mController.awaitReady();
        awaitController();
        Bed.Entry other = mBed.entry("front-2");
        other.start(0.57);
        other.awaitReady();
        boolean stale = false;
        for (int stop = 0; stop < STOPS && !stale; stop++) {
            Bed.sleep(SETTLE_MILLIS);
            mHeld.set(false);
            stopAsAnOrderIsOnItsWay(other, stop);
            stale = hasStaleOrder(engine.orders());
            if (!mHeld.get()) {
                mBed.note("end", "no order was on its way");
                return 2;
            }
            Bed.Entry stopped = mController;
            mController = other;
            other = stopped;
            if (!stale && stop < STOPS - 1) {
                awaitController();
                other.restart(0.57);
            }
        }
        mBed.note("end", "a lower generation number after a higher one: " + stale);
        return stale ? 1 : 0;
    }

    private void awaitController() {
        while (!mBed.store().text("cornelway/controller/0").contains(mController.name())) {
            Bed.sleep(20);
        }
    }

    private void stopAsAnOrderIsOnItsWay(Bed.Entry other, int stop) throws InterruptedException {
        List<Thread> consumers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            String model = "m1/a" + (3 * stop + i);
            consumers.add(Bed.thread(model, () -> ask(other.front(), model)));
        }
        Bed.sleep(LATE_MILLIS);
        for (Thread consumer : consumers) {
            consumer.join(13_000);
        }
    }

    private static boolean hasStaleOrder(List<Engine.Order> orders) {
        long highest = 0;
        boolean stale = false;
        for (Engine.Order order : orders) {
            stale |= order.fence() < highest;
            highest = Math.max(highest, order.fence());
        }
        return stale;
    }

    private void ask(int port, String model) {
        String id = "q-" + model.replace('/', '-');
        try (Socket channel = Bed.connect(port)) {
            channel.setSoTimeout(13_000);
            mBed.note("ask", id);
            Bed.send(channel, "POST /lohu930/2f HTTP/1.1\r\nHost: " + Bed.HOST
                    + "\r\nX-Request-Id: " + id + "\r\nX-Model: " + model
                    + "\r\nX-Token-Count: 600,80\r\nX-Deadline-Ms: 12000\r\n"
                    + "Content-Length: 2\r\n\r\n{}");
            Http reply = Http.read(new BufferedInputStream(channel.getInputStream()));
            mBed.note("answer", id + " " + (reply == null ? "none" : reply.firstLine()));
        } catch (IOException e) {
            mBed.note("answer", id + " " + e);
        }
    }
}
