package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that only complete events are returned, however the body is divided into buffers. */
public class EventStreamReaderTest {
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
}
