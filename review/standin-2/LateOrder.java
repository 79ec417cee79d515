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
 * The controller is stopped as planned while the packet with one of its orders is lost once on the
 * way to an engine, and sent again by TCP.
 */
final class LateOrder {
    /** Time after which TCP sends a lost packet again: the least that Linux waits. */
    private static final long RESEND_MILLIS = 200;

    private final Bed mBed;
    private final boolean mTrouble;
    private final AtomicBoolean mHeld = new AtomicBoolean();
    private Bed.Entry mFirst;

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
        if (!packet.contains("\"Holder\":\"front-1\"") || !mHeld.compareAndSet(false, true)) {
            return;
        }
        mBed.note("on its way", packet.substring(packet.indexOf("{\"Op")));
        try {
            mFirst.signal("TERM");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (mTrouble) {
            Bed.sleep(RESEND_MILLIS);
            mBed.note("link", "the packet is sent again and arrives, " + RESEND_MILLIS + " ms later");
        }
    }

    private int run() throws Exception {
        mBed.store().put("op/config", Engine.config());
        Engine engine = new Engine(mBed, "i-1");
        int port = new Link(engine.server().port()).mSocket.getLocalPort();
        mBed.store().put("servers/i-1", engine.announcement(port).replace("aveiro", "agueda"));
        mFirst = mBed.entry("front-1");
        Bed.Entry second = mBed.entry("front-2");
        mHeld.set(true);
        mFirst.start(0.57);
        mFirst.awaitReady();
        while (!mBed.store().text("cornelway/controller/0").contains("front-1")) {
            Bed.sleep(20);
        }
        second.start(0.57);
        second.awaitReady();
        Bed.sleep(4_000);
        mHeld.set(false);
        List<Thread> consumers = new ArrayList<>();
        for (String model : List.of("m1/a1", "m1/a2", "m1/a3")) {
            consumers.add(Bed.thread(model, () -> ask(second.front(), model)));
        }
        Bed.sleep(9_000);
        for (Thread consumer : consumers) {
            consumer.join(6_000);
        }
        boolean stale = false;
        long highest = 0;
        for (Engine.Order order : engine.orders()) {
            stale |= order.fence() < highest;
            highest = Math.max(highest, order.fence());
        }
        mBed.note("end", "a lower generation number after a higher one: " + stale + ", an order was "
                + "on its way: " + mHeld);
        return !mHeld.get() ? 2 : stale ? 1 : 0;
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
