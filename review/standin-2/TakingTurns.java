import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns the controller away for two and a half seconds; soon after, the process that has
 * become the controller is stopped as planned.
 */
final class TakingTurns {
    private static final long LEASE_MILLIS = 3_000;
    private static final long AWAY_MILLIS = 2_500;
    private static final long UNTIL_STOP_MILLIS = 500;

    private final Bed mBed;
    private final AtomicBoolean mStop = new AtomicBoolean();
    private final AtomicInteger mIds = new AtomicInteger();

    private TakingTurns(Bed bed) {
        mBed = bed;
    }

    public static void main(String[] words) {
        Bed.play(words, bed -> new TakingTurns(bed).run(Bed.hasTrouble()));
    }

    private int run(boolean trouble) throws Exception {
        mBed.store().put("op/config", Engine.config());
        Engine engine = new Engine(mBed, "i-1");
        mBed.store().put("servers/i-1", engine.announcement(engine.server().port()));
        Bed.Entry first = mBed.entry("front-1");
        Bed.Entry second = mBed.entry("front-2");
        Bed.Entry third = mBed.entry("front-3");
        first.start(1.5);
        first.awaitReady();
        while (!controller().equals("front-1")) {
            Bed.sleep(20);
        }
        second.start(0.63);
        third.start(0.63);
        second.awaitReady();
        third.awaitReady();
        Bed.sleep(8_000);
        for (Bed.Entry entry : List.of(first, second, third)) {
            for (int i = 0; i < 3; i++) {
                Bed.thread("consumer of " + entry.name(), () -> ask(entry.front()));
            }
        }
        Bed.sleep(3_000);
        mBed.note("controller", controller());
        if (trouble) {
            mBed.note("store", "turns front-1 away");
            mBed.store().turnAway("front-1", true);
        }
        Bed.sleep(AWAY_MILLIS);
        if (trouble) {
            mBed.note("store", "serves front-1 again");
            mBed.store().turnAway("front-1", false);
        }
        Bed.sleep(UNTIL_STOP_MILLIS);
        String stopped = trouble ? controller() : "front-2";
        mBed.note("controller", controller());
        (stopped.equals("front-3") ? third : second).signal("TERM");
        Bed.sleep(3_000);
        mBed.note("controller", controller());
        mStop.set(true);
        boolean broken = hasTurns(engine.orders());
        mBed.note("end", "holders take turns within " + LEASE_MILLIS + " ms: " + broken);
        return engine.orders().isEmpty() ? 2 : broken ? 1 : 0;
    }

    private String controller() {
        String text = mBed.store().text("cornelway/controller/0");
        return text.isEmpty() ? "none" : (String) Json.object(text).get("id");
    }

    /** Whether a holder orders, then another one, and then the first one again within the time. */
    private boolean hasTurns(List<Engine.Order> orders) {
        boolean found = false;
        for (int i = 1; i < orders.size(); i++) {
            Engine.Order order = orders.get(i);
            for (int j = i - 1; j >= 0; j--) {
                boolean isSame = orders.get(j).holder().equals(order.holder());
                if (isSame && j == i - 1) {
                    break;
                }
                long millis = order.millis() - orders.get(j).millis();
                if (isSame && millis < LEASE_MILLIS) {
                    mBed.note("turns", order.holder() + " orders again " + millis + " ms after its "
                            + "last order; meanwhile " + orders.get(i - 1).holder() + " did");
                    found = true;
                }
                if (isSame) {
                    break;
                }
            }
        }
        return found;
    }

    /** Asks for one adapter after the other. */
    private void ask(int port) {
        while (!mStop.get()) {
            try (Socket channel = Bed.connect(port)) {
                channel.setSoTimeout(5_000);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                while (!mStop.get()) {
                    int id = mIds.incrementAndGet();
                    Bed.send(channel, "POST /lohu930/2f HTTP/1.1\r\nHost: " + Bed.HOST
                            + "\r\nX-Request-Id: q-" + id + "\r\nX-Model: m1/a" + (1 + id % 38)
                            + "\r\nX-Token-Count: 600,80\r\nX-Deadline-Ms: 4000\r\n"
                            + "Content-Length: 2\r\n\r\n{}");
                    Http reply = Http.read(in);
                    if (reply == null || reply.header("Connection").equalsIgnoreCase("close")) {
                        break;
                    }
                    Bed.sleep(150);
                }
            } catch (IOException e) {
                Bed.sleep(100);
            }
        }
    }
}
