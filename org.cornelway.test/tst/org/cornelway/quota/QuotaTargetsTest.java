package org.cornelway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which entry's ledger an entry uses. */
public class QuotaTargetsTest {
    private static final long WINDOW_MILLIS = 8_000;
    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final Set<String> ZONE = Set.of("b", "c");

    private static Optional<String> choose(QuotaTargets targets, String controller, long now) {
        return targets.choose(
                Optional.of(controller).filter(id -> !id.isEmpty()), MEMBERS, ZONE, now);
    }

    @Test
    public void ledgerIsFoundWithoutControllerAndBesideOneThatFails() {
        QuotaTargets targets = new QuotaTargets(WINDOW_MILLIS);
        assertThat(choose(targets, "", 0)).contains("a");
        assertThat(choose(targets, "c", 100)).contains("c");
        targets.recordFailure("c", 200);
        assertThat(choose(targets, "c", 200)).contains("b");
        targets.recordReply("c");
        assertThat(choose(targets, "c", 300)).contains("c");
    }

    /** Guards against changes back and forth, in which two ledgers count a share all the time. */
    @Test
    public void secondChangeWithinWindowLeavesTheShareToNoLedger() {
        QuotaTargets targets = new QuotaTargets(WINDOW_MILLIS);
        choose(targets, "a", 0);
        choose(targets, "b", 100);
        assertThat(targets.mayShare(100)).isTrue();
        choose(targets, "a", 200);
        assertThat(targets.mayShare(200)).isFalse();
        assertThat(targets.mayShare(200 + QuotaTimes.SHARE_MILLIS)).isTrue();
    }
}
