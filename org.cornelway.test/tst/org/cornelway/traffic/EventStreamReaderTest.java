package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that only complete events are returned, however the body is divided into buffers. */
public class EventStreamReaderTest {
    private static final int LONGEST_EVENT_BYTES = 1 << 20;

    private static List<String> readEvents(byte[] bytes, Random random)
            throws BrokenAnswerException {
        EventStreamReader reader = new EventStreamReader();
        List<String> events = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.length) {
            int length = Math.min(bytes.length - offset, 1 + random.nextInt(9));
            reader.feed(Unpooled.wrappedBuffer(bytes, offset, length));
            offset += length;
            Optional<EventStreamReader.Event> event = reader.next();
            while (event.isPresent()) {
                events.add(
                        event.get().id().orElse("-")
                                + "|"
                                + event.get().bytes().toString(StandardCharsets.UTF_8));
                event = reader.next();
            }
        }
        assertThat(reader.hasPartialEvent()).isFalse();
        return events;
    }

    @Test
    public void eventsEndAtBlankLinesHoweverBodyIsDivided() throws BrokenAnswerException {
        String text = "id: 1\ndata: a\n\ndata: no id\n\nid:22\r\ndata: b\r\n\r\n: ping\n\n";
        List<String> expected =
                List.of(
                        "1|id: 1\ndata: a\n\n",
                        "-|data: no id\n\n",
                        "22|id:22\r\ndata: b\r\n\r\n",
                        "-|: ping\n\n");
        for (int seed = 0; seed < 100; seed++) {
            assertThat(readEvents(text.getBytes(StandardCharsets.UTF_8), new Random(seed)))
                    .as("seed " + seed)
                    .isEqualTo(expected);
        }
    }

    @Test
    public void incompleteEventIsNotReturned() throws BrokenAnswerException {
        EventStreamReader reader = new EventStreamReader();
        reader.feed(Unpooled.copiedBuffer("id: 1\ndata: half\n", StandardCharsets.UTF_8));
        assertThat(reader.next()).isEmpty();
        assertThat(reader.hasPartialEvent()).isTrue();
    }

    /**
     * Guards against work that grows with the square of the bytes of an event, which stops all
     * calls of the process. Such a reader needs minutes.
     */
    @Test(timeOut = 20_000)
    public void longEventInSmallestPartsIsReadInLinearTime() throws BrokenAnswerException {
        EventStreamReader reader = new EventStreamReader();
        ByteBuf part = Unpooled.wrappedBuffer(new byte[] {'a', 'a'});
        for (int i = 0; i < LONGEST_EVENT_BYTES / 2; i++) {
            reader.feed(part);
            assertThat(reader.next()).isEmpty();
        }
        assertThatThrownBy(() -> reader.feed(part)).isInstanceOf(BrokenAnswerException.class);
    }

    @Test
    public void returnedEventsDoNotCountTowardsTheLongestEvent() throws BrokenAnswerException {
        EventStreamReader reader = new EventStreamReader();
        byte[] event = ("data: " + "a".repeat(LONGEST_EVENT_BYTES / 2) + "\n\n").getBytes();
        for (int i = 0; i < 5; i++) {
            reader.feed(Unpooled.wrappedBuffer(event));
            assertThat(reader.next().orElseThrow().bytes().readableBytes()).isEqualTo(event.length);
        }
        assertThat(reader.hasPartialEvent()).isFalse();
    }
}
