import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;

/** A sound server on a loopback port: one request at a time on a channel. */
final class Server implements AutoCloseable {
    private final String mId;
    private final ServerSocket mSocket;
    private final Handler mHandler;
    private final long mBorn = System.currentTimeMillis();

    /** Answers requests. */
    interface Handler {
        /** Handles a request that names this server, and writes the answer. */
        void handle(Http request, Socket channel) throws IOException;
    }

    Server(String id, Handler handler) throws IOException {
        mId = id;
        mHandler = handler;
        mSocket = new ServerSocket();
        mSocket.setReceiveBufferSize(1 << 16);
        mSocket.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Bed.thread("server " + id, this::accept);
    }

    private int mBytesPerSecond;

    /** Makes the server read at a rate; 0 for no limit. */
    void readSlowly(int bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    /** Reads at most as fast as the server reads. */
    private InputStream paced(InputStream in) {
        return new java.io.FilterInputStream(in) {
            @Override
            public int read(byte[] buffer, int offset, int length) throws IOException {
                int rate = mBytesPerSecond;
                if (rate == 0) {
                    return super.read(buffer, offset, length);
                }
                Bed.sleep(20);
                return super.read(buffer, offset, Math.min(length, rate / 50));
            }
        };
    }

    String id() {
        return mId;
    }

    long born() {
        return mBorn;
    }

    int port() {
        return mSocket.getLocalPort();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket channel = mSocket.accept();
                channel.setTcpNoDelay(true);
                Bed.thread("channel of " + mId, () -> serve(channel));
            } catch (SocketException e) {
                return;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            InputStream in = new BufferedInputStream(paced(channel.getInputStream()), 1 << 16);
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                String target = request.header("X-Target-Instance");
                if (!target.isEmpty() && !target.equals(mId)) {
                    reply(channel, request, "421 Misdirected Request", "", new byte[0]);
                } else {
                    mHandler.handle(request, channel);
                }
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    /** Writes a whole answer with the request's id. */
    void reply(Socket channel, Http request, String status, String headers, byte[] body)
            throws IOException {
        String id = request.header("X-Request-Id");
        String head =
                "HTTP/1.1 " + status + "\r\n"
                        + (id.isEmpty() ? "" : "X-Request-Id: " + id + "\r\n")
                        + "X-Instance-Id: " + mId + "\r\n"
                        + headers
                        + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] bytes = head.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        channel.getOutputStream().write(all);
        channel.getOutputStream().flush();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
