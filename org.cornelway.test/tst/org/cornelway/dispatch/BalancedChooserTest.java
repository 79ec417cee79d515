package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.testng.annotations.Test;

/** Tests single choices; {@link UnevenServersTest} plays loads. */
public class BalancedChooserTest {
    private static final int SLOTS = 10;
    private static final long CAPACITY = 10_000;
    private static final int CALLS = 2_000;

    private final ServerChooser mChooser = new BalancedChooser();

    private static Candidate candidate(
            String id, int requests, double slowness, long tokens, boolean suspect) {
        ServerRecord server =
                new ServerRecord(
                        new ServerIncarnation(id, 1),
                        "s",
                        "127.0.0.1",
                        1,
                        "z",
                        SLOTS,
                        false,
                        1,
                        Map.of(),
                        Set.of(),
                        Set.of());
        return new Candidate(
                server,
                0,
                requests,
                requests,
                slowness,
                0,
                suspect,
                true,
                slowness > 2,
                tokens,
                CAPACITY);
    }

    private static Candidate candidate(String id, int requests) {
        return candidate(id, requests, 1, 0, false);
    }

    /** Returns how often each server is chosen. */
    private Map<String, Integer> choices(int affinity, Set<String> tried, Candidate... candidates) {
        Map<String, Integer> choices = new TreeMap<>();
        for (int draw = 0; draw < CALLS; draw++) {
            CallNeeds needs = new CallNeeds(affinity, tried, 1_000, draw);
            Candidate chosen = mChooser.choose(List.of(candidates), needs).orElseThrow();
            choices.merge(chosen.server().id(), 1, Integer::sum);
        }
        return choices;
    }

    private Set<String> chosen(Candidate... candidates) {
        return choices(0, Set.of(), candidates).keySet();
    }

    @Test
    public void noServerIsChosenFromNone() {
        assertThat(mChooser.choose(List.of(), new CallNeeds(0, Set.of(), 0, 1))).isEmpty();
    }

    /** Guards against entries that all choose the server with the fewest requests. */
    @Test
    public void callsAreSpreadOverServersThatDifferByLessThanReportsAreAccurate() {
        Map<String, Integer> choices =
                choices(0, Set.of(), candidate("a", 1), candidate("b", 2), candidate("c", 2));
        assertThat(choices).containsOnlyKeys("a", "b", "c");
        assertThat(choices.get("a")).isBetween(CALLS / 2, CALLS * 4 / 5);
        assertThat(choices.get("b")).isGreaterThan(CALLS / 10);
    }

    @Test
    public void serverWithManyMoreRequestsIsNotChosen() {
        assertThat(chosen(candidate("a", 1), candidate("b", 5))).containsExactly("a");
    }

    @Test
    public void slowServerRanksAfterLoadedOneAndBeforeFullOrSuspectOnes() {
        Candidate slow = candidate("slow", 0, 2.5, 0, false);
        assertThat(chosen(slow, candidate("b", 8))).containsExactly("b");
        assertThat(chosen(slow, candidate("b", 10))).containsExactly("slow");
        assertThat(chosen(slow, candidate("b", 0, 1, 0, true))).containsExactly("slow");
    }

    /** Guards against calls that overflow an engine's memory, so that it preempts streams. */
    @Test
    public void engineWithoutMemoryForTheCallRanksAfterSlowOne() {
        Candidate full = candidate("full", 2, 1, 8_000, false);
        assertThat(chosen(full, candidate("b", 7))).containsExactly("b");
        assertThat(chosen(full, candidate("slow", 5, 2.5, 0, false))).containsExactly("slow");
        assertThat(chosen(full)).containsExactly("full");
    }

    @Test
    public void serverThatWasTriedRanksAfterSlowAndFullOnes() {
        Candidate slow = candidate("slow", 5, 2.5, 9_000, false);
        Map<String, Integer> choices = choices(0, Set.of("b"), slow, candidate("b", 0));
        assertThat(choices).containsOnlyKeys("slow");
    }

    @Test
    public void callGoesToServerWithCachedPromptUnlessThatIsFull() {
        for (int affinity = 1; affinity < 50; affinity++) {
            Map<String, Integer> idle =
                    choices(affinity, Set.of(), candidate("a", 0), candidate("b", 0));
            assertThat(idle).hasSize(1);
            boolean isA = idle.containsKey("a");
            Map<String, Integer> full =
                    choices(
                            affinity,
                            Set.of(),
                            candidate("a", 1, 1, isA ? 9_500 : 0, false),
                            candidate("b", 1, 1, isA ? 0 : 9_500, false));
            assertThat(full).containsOnlyKeys(isA ? "b" : "a");
        }
    }
}
