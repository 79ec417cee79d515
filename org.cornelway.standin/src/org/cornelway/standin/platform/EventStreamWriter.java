package org.cornelway.standin.platform;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.function.LongSupplier;

/**
 * Writes one response of a stand-in that is a stream of events, with the fault that is injected
 * when the response begins. Confined to the connection's event loop.
 */
final class EventStreamWriter {
    private static final long REPEAT_INTERVAL_MILLIS = 20;

    /** Length of the part of an event that is sent before a response breaks off. */
    private static final int PARTIAL_EVENT_BYTES = 5;

    /** Added to the id of an event that is sent with a wrong one. */
    private static final int ID_ERROR = 80;

    private static final int ENDLESS_CHUNK_BYTES = 16;
    private static final int CHUNKS_PER_WRITE = 512;

    private final Vertx mVertx;
    private final NetSocket mSocket;
    private final String mServerId;
    private final Fault mFault;
    private final int mEventCount;
    private final long mIntervalMillis;
    private final String mPadding;
    private final LongSupplier mPauseMillis;
    private Runnable mOnAbandoned;
    private boolean mClosed;

    /**
     * @param pauseMillis how long no events are sent from now on; none if not positive
     */
    EventStreamWriter(
            Vertx vertx,
            NetSocket socket,
            String serverId,
            Fault fault,
            StreamPlan plan,
            LongSupplier pauseMillis) {
        mPauseMillis = pauseMillis;
        mVertx = vertx;
        mSocket = socket;
        mServerId = serverId;
        mFault = fault;
        mEventCount = plan.eventCount();
        mIntervalMillis = plan.intervalMillis();
        mPadding = "x".repeat(plan.paddingBytes());
    }

    /**
     * Sends the head and the events.
     *
     * @param headers header lines in addition to those of the framing
     * @param firstId id of the first event
     * @param onAbandoned called if the client closes the connection before the last event
     */
    void start(String headers, int firstId, Runnable onAbandoned) {
        mOnAbandoned = onAbandoned;
        mSocket.closeHandler(closed -> mClosed = true);
        mSocket.write(
                "HTTP/1.1 200 OK\r\n"
                        + headers
                        + "Content-Type: text/event-stream\r\n"
                        + (mFault.isUnframed() ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
        writeEvent(firstId);
    }

    private void writeEvent(int id) {
        if (mClosed) {
            mOnAbandoned.run();
            return;
        }
        long pauseMillis = mPauseMillis.getAsLong();
        if (pauseMillis > 0) {
            mVertx.setTimer(pauseMillis, timer -> writeEvent(id));
            return;
        }
        boolean isMiddle = id == mEventCount / 2 + 1;
        int shownId = isMiddle && mFault == Fault.WRONG_EVENT_ID ? id + ID_ERROR : id;
        String text = "id: " + shownId + "\ndata: " + mServerId + mPadding + "\n\n";
        if (id > mEventCount / 2 && breaksOff(text)) {
            return;
        }
        mSocket.write(frame(text));
        if (id < mEventCount) {
            mVertx.setTimer(mIntervalMillis, timer -> writeEvent(id + 1));
        } else if (mFault.isUnframed()) {
            mSocket.close();
        } else {
            mSocket.write("0\r\n\r\n");
        }
    }

    /** Ends the stream within an event or stops completing events, if the fault says so. */
    private boolean breaksOff(String text) {
        String part = text.substring(0, PARTIAL_EVENT_BYTES);
        switch (mFault) {
            case TRUNCATED_RESPONSE:
                mSocket.write(Integer.toHexString(text.length()) + "\r\n" + part);
                mSocket.close();
                return true;
            case UNFRAMED_PARTIAL_EVENT:
                mSocket.write(part);
                mSocket.close();
                return true;
            case TRICKLE:
                repeat(mVertx, mSocket, "1\r\n:\r\n", mOnAbandoned);
                return true;
            case ENDLESS_EVENT:
                writeEndlessEvent();
                return true;
            default:
                return false;
        }
    }

    /** Writes small chunks without an end of a line, as fast as the client reads them. */
    private void writeEndlessEvent() {
        if (mClosed) {
            mOnAbandoned.run();
            return;
        }
        mSocket.write(frame("0".repeat(ENDLESS_CHUNK_BYTES)).repeat(CHUNKS_PER_WRITE))
                .onSuccess(written -> writeEndlessEvent())
                .onFailure(e -> mOnAbandoned.run());
    }

    /** Returns a part of a stream as it is sent: as it is, or as a chunk. */
    private String frame(String text) {
        return mFault.isUnframed()
                ? text
                : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Writes a text periodically until the connection is closed. */
    static void repeat(Vertx vertx, NetSocket socket, String text, Runnable onClosed) {
        long timer = vertx.setPeriodic(REPEAT_INTERVAL_MILLIS, tick -> socket.write(text));
        socket.closeHandler(
                closed -> {
                    vertx.cancelTimer(timer);
                    onClosed.run();
                });
    }
}
