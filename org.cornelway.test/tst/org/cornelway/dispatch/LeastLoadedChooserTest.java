package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.testng.annotations.Test;

/**
 * Tests single choices, and compares the total duration of simulated calls with that of the
 * baseline {@link FirstUntriedChooser}.
 */
public class LeastLoadedChooserTest {
    private final ServerChooser mChooser = new LeastLoadedChooser();

    private static ServerRecord server(String id) {
        return new ServerRecord(
                new ServerIncarnation(id, 1),
                "s",
                "127.0.0.1",
                1,
                "z",
                8,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private static Candidate candidate(String id, int inFlight, double slowness, boolean suspect) {
        return new Candidate(server(id), inFlight, 0, slowness, 0, suspect, true);
    }

    private String choose(List<Candidate> candidates, int affinity, Set<String> tried) {
        CallNeeds needs = new CallNeeds(affinity, tried, 0, 0);
        return mChooser.choose(candidates, needs).orElseThrow().server().id();
    }

    @Test
    public void avoidsSuspectTriedAndSlowServers() {
        List<Candidate> withSuspect =
                List.of(candidate("a", 0, 1, true), candidate("b", 5, 1, false));
        assertThat(choose(withSuspect, 0, Set.of())).isEqualTo("b");
        List<Candidate> withSlow =
                List.of(candidate("a", 1, 8, false), candidate("b", 3, 1, false));
        assertThat(choose(withSlow, 0, Set.of())).isEqualTo("b");
        assertThat(choose(withSlow, 0, Set.of("b"))).isEqualTo("a");
        assertThat(mChooser.choose(List.of(), new CallNeeds(0, Set.of(), 0, 0))).isEmpty();
    }

    @Test
    public void preferredServerIsNotChosenWhenItIsLoaded() {
        for (int affinity = 1; affinity < 50; affinity++) {
            List<Candidate> idle =
                    List.of(candidate("a", 0, 1, false), candidate("b", 0, 1, false));
            String preferred = choose(idle, affinity, Set.of());
            List<Candidate> busy =
                    List.of(
                            candidate("a", preferred.equals("a") ? 6 : 0, 1, false),
                            candidate("b", preferred.equals("b") ? 6 : 0, 1, false));
            assertThat(choose(busy, affinity, Set.of())).isNotEqualTo(preferred);
        }
    }

    /**
     * Simulates calls to three servers; those on the first take five times as long. The chooser can
     * tell this only from the number of calls in flight.
     *
     * @return total duration of the calls in milliseconds
     */
    private static long simulate(ServerChooser chooser, long seed) {
        Random random = new Random(seed);
        int[] inFlight = new int[3];
        // Each element holds the end time of a call and the index of its server.
        List<long[]> activeCalls = new ArrayList<>();
        long total = 0;
        for (long now = 0; now < 20_000; now += 5) {
            long time = now;
            activeCalls.removeIf(
                    call -> {
                        if (call[0] <= time) {
                            inFlight[(int) call[1]]--;
                        }
                        return call[0] <= time;
                    });
            List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                candidates.add(candidate("s" + i, inFlight[i], 1, false));
            }
            int chosen =
                    chooser.choose(candidates, new CallNeeds(0, Set.of(), 0, 0))
                            .map(candidate -> candidate.server().id().charAt(1) - '0')
                            .orElseThrow();
            long unloadedDuration = (20 + random.nextInt(20)) * (chosen == 0 ? 5 : 1);
            long duration = unloadedDuration * (1 + inFlight[chosen] / 8);
            total += duration;
            inFlight[chosen]++;
            activeCalls.add(new long[] {now + duration, chosen});
        }
        return total;
    }

    @Test
    public void callsTakeLessTimeThanWithBaseline() {
        for (long seed = 0; seed < 5; seed++) {
            assertThat(simulate(mChooser, seed))
                    .isLessThan(simulate(new FirstUntriedChooser(), seed));
        }
    }
}
