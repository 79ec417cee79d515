import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The controller is cut off from the store and from an engine for five seconds as one of its orders
 * is on its way. Another entry becomes the controller meanwhile.
 */
final class CutOff {
    private static final long CUT_MILLIS = 5_000;

    /** After a link has healed, orders count once this time has passed. */
    private static final long THAW_MILLIS = 300;

    private static final long ASK_MILLIS = 500;
    private static final int ADAPTERS = 24;

    private final Bed mBed;
    private final boolean mTrouble;
    private final Cable.Cut mCut = new Cable.Cut(CUT_MILLIS);
    private final AtomicBoolean mWaitsForOrder = new AtomicBoolean();

    private CutOff(Bed bed, boolean trouble) {
        mBed = bed;
        mTrouble = trouble;
    }

    public static void main(String[] words) {
        Bed.play(words, bed -> new CutOff(bed, Bed.hasTrouble()).run());
    }

    private int run() throws Exception {
        mBed.store().put("op/config", Engine.config());
        Engine engine = new Engine(mBed, "i-1");
        Bed.Entry first = mBed.entry("front-1");
        Bed.Entry second = mBed.entry("front-2");
        Bed.Entry third = mBed.entry("front-3");
        Cable toEngine =
                new Cable(mCut, engine.server().port(), first::hasOpened, this::beginsCut);
        mBed.store().put("servers/i-1", engine.announcement(toEngine.port()));
        first.useStorePort(
                new Cable(mCut, first.storePort(), channel -> true, bytes -> false).port());
        first.start(0.57);
        first.awaitReady();
        while (!mBed.store().text("cornelway/controller/0").contains("front-1")) {
            Bed.sleep(20);
        }
        second.start(0.57);
        second.awaitReady();
        third.start(0.57);
        third.awaitReady();
        Bed.sleep(4_000);
        mWaitsForOrder.set(true);
        List<Thread> consumers = new ArrayList<>();
        for (int i = 1; i <= ADAPTERS; i++) {
            String model = "m1/a" + i;
            consumers.add(Bed.thread(model, () -> ask(second.front(), model)));
            Bed.sleep(ASK_MILLIS);
        }
        for (Thread consumer : consumers) {
            consumer.join(13_000);
        }
        if (mWaitsForOrder.get()) {
            mBed.note("end", "no order was on its way");
            return 2;
        }
        boolean stale = hasStaleOrder(engine.orders());
        mBed.note("end", "a lower generation number after a higher one, over " + THAW_MILLIS
                + " ms after the link has healed: " + stale);
        return stale ? 1 : 0;
    }

    /** Whether these bytes are the order that is on its way as the cut begins. */
    private boolean beginsCut(String bytes) {
        if (!bytes.contains("\"Operation\"") || !mWaitsForOrder.compareAndSet(true, false)) {
            return false;
        }
        mBed.note("on its way", bytes.substring(bytes.indexOf("{\"Op")));
        if (mTrouble) {
            mBed.note("cut", "front-1 is cut off for " + CUT_MILLIS + " ms");
            Bed.thread("heals", () -> {
                Bed.sleep(CUT_MILLIS);
                mBed.note("healed", "front-1 is cut off no more");
            });
        }
        return mTrouble;
    }

    private boolean hasStaleOrder(List<Engine.Order> orders) {
        long counts = mTrouble ? mCut.healed() - mBed.origin() + THAW_MILLIS : 0;
        long highest = 0;
        boolean stale = false;
        for (Engine.Order order : orders) {
            stale |= order.fence() < highest && order.millis() > counts;
            highest = Math.max(highest, order.fence());
        }
        return stale;
    }

    private void ask(int port, String model) {
        String id = "q-" + model.replace('/', '-');
        try (Socket channel = Bed.connect(port)) {
            channel.setSoTimeout(13_000);
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
