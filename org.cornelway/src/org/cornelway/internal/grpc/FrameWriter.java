package org.cornelway.internal.grpc;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.function.Supplier;
import org.cornelway.exchange.AnswerSink;
import org.cornelway.exchange.Outcome;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.rpc.Chunk;
import org.cornelway.rpc.Final;
import org.cornelway.rpc.Frame;
import org.cornelway.rpc.Progress;

/**
 * Writes an answer as the frames of one gRPC call.
 *
 * <p>Nothing is written after the final frame, after {@link #close}, or after the entry has
 * cancelled the call. Thread-safe.
 */
final class FrameWriter implements AnswerSink {
    private final String mRequestId;
    private final ServerCallStreamObserver<Frame> mObserver;
    private final Supplier<AgentLoad> mLoad;
    private boolean mClosed;

    FrameWriter(
            String requestId, ServerCallStreamObserver<Frame> observer, Supplier<AgentLoad> load) {
        mRequestId = requestId;
        mObserver = observer;
        mLoad = load;
    }

    @Override
    public synchronized void onChunk(long sequence, byte[] data) {
        Chunk chunk =
                Chunk.newBuilder()
                        .setSequence(sequence)
                        .setData(com.google.protobuf.ByteString.copyFrom(data))
                        .build();
        write(newFrame().setChunk(chunk));
    }

    @Override
    public synchronized void onEnd(Outcome outcome) {
        Final finalPart =
                Final.newBuilder()
                        .setChunkCount(outcome.chunkCount())
                        .setResultCode(outcome.code().number())
                        .setMessage(outcome.message())
                        .setHttpStatus(outcome.httpStatus())
                        .setContentType(outcome.contentType())
                        .build();
        write(newFrame().setFinal(finalPart).setLoad(mLoad.get()));
        if (!mClosed) {
            mClosed = true;
            mObserver.onCompleted();
        }
    }

    /** Writes a progress frame, which tells the entry that the exchange is alive. */
    synchronized void writeProgress(boolean started) {
        Progress progress = Progress.newBuilder().setStarted(started).build();
        write(newFrame().setProgress(progress).setLoad(mLoad.get()));
    }

    /** Stops writing frames; called when the call was closed or the entry has cancelled it. */
    synchronized void close() {
        mClosed = true;
    }

    synchronized boolean isClosed() {
        return mClosed;
    }

    private Frame.Builder newFrame() {
        return Frame.newBuilder().setRequestId(mRequestId);
    }

    private void write(Frame.Builder frame) {
        if (!mClosed && !mObserver.isCancelled()) {
            mObserver.onNext(frame.build());
        }
    }
}
