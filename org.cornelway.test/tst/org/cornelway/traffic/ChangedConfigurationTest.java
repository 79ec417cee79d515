package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerRecord;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.traffic.TimedServer.Part;
import org.cornelway.traffic.TimedServer.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a change of the configuration cuts no stream that runs meanwhile. */
public class ChangedConfigurationTest extends HedgeTestBase {
    private static final int EVENTS = 10;
    private static final int EVENTS_BEFORE_BREAK = 5;
    private static final long EVENT_MILLIS = 250;
    private static final long CHANGE_MILLIS = 150;

    /** Longer than the stream takes, so that no timeout is reached. */
    private static final long SHORT_TIMEOUT_MILLIS = 4_000;

    private static final String EVENT_STREAM = "Content-Type: text/event-stream";
    private static final String OTHER_SERVICE = "other";

    /**
     * What is published, beside a server of another service.
     *
     * @param hasServer whether the server of the stream is announced
     */
    record Change(Optional<RoutingConfiguration> configuration, boolean hasServer) {}

    private static Script events(int first, int last, String end) {
        List<Part> parts = new ArrayList<>();
        parts.add(new Part(0, head("200 OK", "call-1", EVENT_STREAM)));
        for (int id = first; id <= last; id++) {
            parts.add(new Part(EVENT_MILLIS, "id: " + id + "\ndata: piece\n\n"));
        }
        parts.add(new Part(0, end));
        return new Script(parts, true);
    }

    private static Change version(long version, long timeoutMillis) {
        return new Change(configuration(version, timeoutMillis, SERVICE), true);
    }

    private static Change limits(long version) {
        RoutingConfiguration usual = configuration(version, TIMEOUT_MILLIS, SERVICE).get();
        return new Change(
                Optional.of(
                        new RoutingConfiguration(
                                version,
                                usual.routes(),
                                usual.services(),
                                new CallerLimits(1, 1, 1, 1),
                                List.of())),
                true);
    }

    private static Change withoutRoutes(long version) {
        return new Change(
                Optional.of(
                        new RoutingConfiguration(
                                version, List.of(), Map.of(), CallerLimits.defaults(), List.of())),
                true);
    }

    @DataProvider
    public Object[][] changes() {
        long usual = TIMEOUT_MILLIS;
        long shorter = SHORT_TIMEOUT_MILLIS;
        Change moved = new Change(configuration(2, usual, OTHER_SERVICE), true);
        Change movedAway = new Change(configuration(2, usual, OTHER_SERVICE), false);
        return new Object[][] {
            {"timeout back and forth", List.of(version(2, shorter), version(5, usual))},
            {
                "a short time limit that is not reached",
                List.of(version(2, shorter / 2), version(3, usual), version(4, shorter))
            },
            {
                "versions that overtake each other",
                List.of(
                        version(4, shorter),
                        version(2, usual),
                        version(5, usual),
                        version(3, shorter))
            },
            {"service of the route", List.of(moved)},
            {"service and its servers", List.of(movedAway)},
            {"no routes, then none known", List.of(withoutRoutes(2), new Change(none(), true))},
            {"limits of callers", List.of(limits(2))},
            {
                "no server of the stream",
                List.of(new Change(configuration(2, usual, SERVICE), false))
            },
        };
    }

    private static Optional<RoutingConfiguration> none() {
        return Optional.empty();
    }

    private void publish(Change change) {
        ServerRecord other = secondRecord(OTHER_SERVICE);
        publish(
                change.configuration(),
                change.hasServer()
                        ? Map.of("s1", firstRecord(), "s2", other)
                        : Map.of("s2", other));
    }

    /** Sends a call for a stream and publishes the changes once its first event may be there. */
    private String receivedBeside(List<Change> changes) throws InterruptedException {
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(this::callStream);
        TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS);
        for (Change change : changes) {
            TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
            publish(change);
        }
        return answer.join();
    }

    private List<String> streamBeside(List<Change> changes) throws InterruptedException {
        String received = receivedBeside(changes);
        assertThat(received).endsWith("\r\n0\r\n\r\n");
        return received.lines().filter(line -> line.startsWith("id: ")).toList();
    }

    private String callStream() {
        try {
            return call(STREAM_PATH);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> allIds() {
        List<String> ids = new ArrayList<>();
        for (int id = 1; id <= EVENTS; id++) {
            ids.add("id: " + id);
        }
        return ids;
    }

    /** Guards against a stream that is cut or sent again since the configuration has changed. */
    @Test(dataProvider = "changes")
    public void streamGoesOnBesideChange(String name, List<Change> changes)
            throws InterruptedException {
        first().setScripts(head -> events(1, EVENTS, ""));
        assertThat(streamBeside(changes)).isEqualTo(allIds());
        assertThat(first().arrivals()).isEqualTo(1);
    }

    /** Has the first server break the stream, and go on with it if it is resumed. */
    private void breakStream() {
        first().setScripts(
                        head ->
                                head.contains("Last-Event-Id: " + EVENTS_BEFORE_BREAK)
                                        ? events(EVENTS_BEFORE_BREAK + 1, EVENTS, "")
                                        : events(1, EVENTS_BEFORE_BREAK, "id: "));
    }

    @DataProvider
    public Object[][] changesWithServers() {
        return Arrays.stream(changes())
                .filter(row -> ((List<?>) row[1]).stream().allMatch(c -> ((Change) c).hasServer()))
                .toArray(Object[][]::new);
    }

    /** Guards against a stream that is not resumed since its route has changed meanwhile. */
    @Test(dataProvider = "changesWithServers")
    public void brokenStreamIsResumedAfterChange(String name, List<Change> changes)
            throws InterruptedException {
        breakStream();
        assertThat(streamBeside(changes)).isEqualTo(allIds());
        assertThat(first().arrivals()).isEqualTo(2);
        assertThat(second().arrivals()).isZero();
    }

    /** Guards against a stream that is resumed within the timeout of its start. */
    @Test
    public void brokenStreamIsResumedWithinLongerTimeout() throws InterruptedException {
        breakStream();
        publish(version(2, EVENTS * EVENT_MILLIS - 2 * EVENT_MILLIS));
        assertThat(streamBeside(List.of(version(3, TIMEOUT_MILLIS)))).isEqualTo(allIds());
        assertThat(first().arrivals()).isEqualTo(2);
    }

    /** Guards against a change that reaches no stream that runs meanwhile. */
    @Test
    public void streamEndsAtShorterTimeout() throws InterruptedException {
        first().setScripts(head -> events(1, EVENTS, ""));
        assertThat(receivedBeside(List.of(version(2, EVENTS_BEFORE_BREAK * EVENT_MILLIS))))
                .contains("id: 1\n")
                .doesNotContain("id: " + EVENTS + "\n")
                .doesNotContain("\r\n0\r\n");
    }
}
