import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Sixteen consumers at once send a body of 4,000,000 bytes each, over three seconds, beside small
 * calls on kept channels. With TROUBLE=0 they come one after the other.
 */
final class LargeBodies {
    private static final int BODY_BYTES = 4_000_000;
    private static final int PART_BYTES = 20_000;
    private static final long PART_MILLIS = 15;
    private static final int LARGE = 16;
    private static final int KEPT = 10;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int LATEST_MILLIS = TIMEOUT_MILLIS + 500;

    private static volatile boolean sDone;

    private LargeBodies() {}

    public static void main(String[] arguments) {
        System.exit(Bed.play(arguments[0], 1, LargeBodies::run));
    }

    private static int run(Bed bed) throws Exception {
        for (String id : List.of("p1", "p2")) {
            bed.addServer(Bed.PLAIN, id, LargeBodies::plain);
        }
        bed.putConfig(bed.newConfig(3));
        bed.start(bed.entry(0));
        bed.awaitReady(bed.entry(0));
        Thread.sleep(4_000);
        List<CompletableFuture<int[]>> kept = new ArrayList<>();
        for (int i = 0; i < KEPT; i++) {
            kept.add(Consumer.async(() -> smallCalls(bed)));
        }
        Thread.sleep(500);
        List<CompletableFuture<String>> uploads = new ArrayList<>();
        for (int i = 0; i < LARGE; i++) {
            CompletableFuture<String> upload = Consumer.async(() -> upload(bed));
            if (!Bed.trouble()) {
                upload.join();
            }
            uploads.add(upload);
        }
        Consumer.joinAll(uploads).forEach(bed::record);
        sDone = true;
        int overdue = 0;
        int unanswered = 0;
        for (int[] counts : Consumer.joinAll(kept)) {
            overdue += counts[0];
            unanswered += counts[1];
        }
        bed.record(overdue + " small calls were unanswered at TimeoutMs " + TIMEOUT_MILLIS + ", and "
                + unanswered + " of them half a second later");
        return unanswered >= 8 && unanswered * 2 > overdue ? 1 : 0;
    }

    private static String upload(Bed bed) throws Exception {
        String id = Consumer.newId();
        bed.record("send " + id + " POST /unsafe/large of " + BODY_BYTES + " bytes");
        try (Socket socket = new Socket("127.0.0.1", bed.entry(0).mFront)) {
            socket.setSoTimeout(10_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /unsafe/large HTTP/1.1\r\nHost: " + Bed.HOST + "\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 10000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] part = new byte[PART_BYTES];
            Arrays.fill(part, (byte) 'a');
            for (int i = 0; i < BODY_BYTES / PART_BYTES; i++) {
                out.write(part);
                Thread.sleep(PART_MILLIS);
            }
            byte[] head = socket.getInputStream().readNBytes(12);
            return "answer " + id + " " + new String(head, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "answer " + id + " none: " + e.getMessage();
        }
    }

    /** Sends small calls on one channel; returns how many were late, at the timeout and 0.5 s later. */
    private static int[] smallCalls(Bed bed) throws Exception {
        int[] counts = new int[2];
        try (Consumer consumer = new Consumer(bed, bed.entry(0))) {
            while (!sDone) {
                Consumer.Answer answer =
                        consumer.call("POST", "/unsafe/small", new byte[800], 4_000, 6_000);
                counts[0] += answer.status() < 0 || answer.millis() > TIMEOUT_MILLIS ? 1 : 0;
                counts[1] += answer.status() < 0 || answer.millis() > LATEST_MILLIS ? 1 : 0;
                Thread.sleep(50);
            }
        }
        return counts;
    }

    private static void plain(BackendServer.Call call) throws IOException, InterruptedException {
        call.run();
        Thread.sleep(60);
        call.answer("200 OK", "done " + call.body().length);
    }
}
