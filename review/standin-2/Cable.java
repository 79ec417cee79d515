import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Predicate;

/**
 * The way from the machines to one other end. The channels of one machine can be cut for a while,
 * as by a partition; all others are passed on.
 *
 * <p>What a channel carries while it is cut is held up, as TCP does: it is sent again after 200 ms,
 * and each time after twice as long (RFC 6298), and arrives at the first time that lies behind the
 * cut. It is lost if its sender resets the channel. A channel that is opened during the
 * cut carries nothing.
 */
final class Cable {
    private static final long FIRST_RESEND_MILLIS = 200;
    private static final byte[] END = new byte[0];

    private final Cut mCut;
    private final int mTo;
    private final Predicate<Socket> mIsCut;
    private final Predicate<String> mBeginsCut;
    private final ServerSocket mSocket = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());

    /** A cut that several links share. */
    static final class Cut {
        private final long mMillis;
        private volatile long mBegan = Long.MAX_VALUE;

        /**
         * @param millis length of the cut
         */
        Cut(long millis) {
            mMillis = millis;
        }

        synchronized void begin() {
            mBegan = Math.min(mBegan, now());
        }

        boolean isOn() {
            return mBegan < Long.MAX_VALUE && now() < healed();
        }

        /** When the cut ends, in milliseconds on the steady clock. */
        long healed() {
            return mBegan + mMillis;
        }
    }

    /**
     * @param to port of the other end
     * @param isCut whether a channel is from the machine that is cut off
     * @param beginsCut whether the cut begins as these bytes are on their way from that machine
     */
    Cable(Cut cut, int to, Predicate<Socket> isCut, Predicate<String> beginsCut)
            throws IOException {
        mCut = cut;
        mTo = to;
        mIsCut = isCut;
        mBeginsCut = beginsCut;
        Bed.thread("cable", this::accept);
    }

    /** The port that machines use instead of that of the other end. */
    int port() {
        return mSocket.getLocalPort();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void accept() {
        while (true) {
            try {
                Socket from = mSocket.accept();
                from.setTcpNoDelay(true);
                boolean isCut = mIsCut.test(from);
                if (!isCut || !mCut.isOn()) {
                    Socket to = Bed.connect(mTo);
                    carry(from, to, isCut, mBeginsCut);
                    carry(to, from, isCut, text -> false);
                } else {
                    Bed.thread("dead channel", () -> discard(from));
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void discard(Socket from) {
        try (from) {
            from.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // Reset.
        }
    }

    private void carry(Socket from, Socket to, boolean isCut, Predicate<String> beginsCut) {
        BlockingQueue<byte[]> bytes = new LinkedBlockingQueue<>();
        Thread writer = Bed.thread("writer", () -> write(bytes, to, isCut));
        Bed.thread("reader", () -> read(from, bytes, writer, isCut ? beginsCut : text -> false));
    }

    private void read(
            Socket from, BlockingQueue<byte[]> bytes, Thread writer, Predicate<String> beginsCut) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (beginsCut.test(new String(buffer, 0, n, StandardCharsets.ISO_8859_1))) {
                    mCut.begin();
                }
                bytes.add(Arrays.copyOf(buffer, n));
            }
            bytes.add(END);
        } catch (IOException e) {
            // Reset: what is held up is lost.
            writer.interrupt();
        }
    }

    private void write(BlockingQueue<byte[]> bytes, Socket to, boolean isCut) {
        try {
            while (true) {
                byte[] next = bytes.take();
                if (isCut && mCut.isOn()) {
                    holdUp();
                }
                if (next == END) {
                    to.shutdownOutput();
                    return;
                }
                to.getOutputStream().write(next);
                to.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            closeQuietly(to);
        }
    }

    /** Waits for the first time behind the cut at which TCP sends again. */
    private void holdUp() throws InterruptedException {
        long at = now();
        for (long wait = FIRST_RESEND_MILLIS; at < mCut.healed(); wait *= 2) {
            at += wait;
        }
        Thread.sleep(at - now());
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
