package org.cornelway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.cornelway.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests that a sink that is attached later receives the answer from a given sequence number on, and
 * that a frame sequence detects gaps, duplicates and frames of other requests.
 */
public final class AnswerBufferTest {
    /** Collects the sequence numbers and the chunk count of the outcome, -1 before the end. */
    private static final class Collector implements AnswerSink {
        private final List<Long> mSequences = new ArrayList<>();
        private long mChunkCount = -1;

        @Override
        public void onChunk(long sequence, byte[] data) {
            mSequences.add(sequence);
        }

        @Override
        public void onEnd(Outcome outcome) {
            mChunkCount = outcome.chunkCount();
        }
    }

    private static Outcome ok() {
        return new Outcome(0, ResultCode.OK, "", 200, "");
    }

    @Test
    public void laterSinkResumesFromSequence() {
        AnswerBuffer buffer = new AnswerBuffer();
        Collector first = new Collector();
        Collector second = new Collector();
        buffer.attach(first, 0);
        LongStream.range(0, 5).forEach(i -> buffer.append(new byte[] {(byte) i}));
        buffer.attach(second, 3);
        buffer.append(new byte[] {5});
        assertThat(buffer.end(ok())).isTrue();
        assertThat(buffer.end(ok())).isFalse();
        buffer.append(new byte[] {6});
        assertThat(first.mSequences).containsExactly(0L, 1L, 2L, 3L, 4L);
        assertThat(first.mChunkCount).isEqualTo(-1);
        assertThat(second.mSequences).containsExactly(3L, 4L, 5L);
        assertThat(second.mChunkCount).isEqualTo(6);
    }

    @Test
    public void frameSequenceDetectsGapsDuplicatesAndFramesOfOtherRequests() {
        FrameSequence frames = new FrameSequence("r1");
        assertThat(frames.acceptChunk("r1", 0)).isEqualTo(FrameSequence.FrameAction.DELIVER);
        assertThat(frames.acceptChunk("r1", 0)).isEqualTo(FrameSequence.FrameAction.DROP);
        assertThat(frames.acceptChunk("r2", 1)).isEqualTo(FrameSequence.FrameAction.DROP);
        assertThat(frames.acceptChunk("r1", 2)).isEqualTo(FrameSequence.FrameAction.GAP);
        assertThat(frames.acceptFinal("r1", 2)).isEqualTo(FrameSequence.FrameAction.GAP);
        assertThat(frames.acceptChunk("r1", 1)).isEqualTo(FrameSequence.FrameAction.DELIVER);
        assertThat(frames.acceptFinal("r2", 2)).isEqualTo(FrameSequence.FrameAction.DROP);
        assertThat(frames.acceptFinal("r1", 2)).isEqualTo(FrameSequence.FrameAction.DELIVER);
        assertThat(frames.acceptChunk("r1", 2)).isEqualTo(FrameSequence.FrameAction.DROP);
    }
}
