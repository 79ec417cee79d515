package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.StoreRevision;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests from when on an instance may begin a term, by what is recorded of the last terms. */
public class ReelectionPolicyTest {
    private static final long STARTED_MILLIS = 1_000;
    private static final long REELECTION_MILLIS = 5_000;
    private static final long ERA = 3;

    private ReelectionPolicy mPolicy;

    @BeforeMethod
    public void createPolicy() {
        mPolicy = new ReelectionPolicy("a", REELECTION_MILLIS, STARTED_MILLIS);
    }

    /** A record that was written in an era and is read in another one. */
    private static TermRecord.Stored stored(
            long writtenEra, long readEra, boolean complete, String... holders) {
        TermRecord terms =
                new TermRecord(StoreRevision.of(writtenEra, 7), List.of(holders), complete);
        return new TermRecord.Stored(terms, StoreRevision.of(readEra, 8));
    }

    private static TermRecord.Stored stored(String... holders) {
        return stored(ERA, ERA, true, holders);
    }

    private boolean mayBeginAtOnce(TermRecord.Stored stored) {
        return mPolicy.mayBeginFrom(stored).isPast(STARTED_MILLIS);
    }

    private void assertWaits(TermRecord.Stored stored) {
        assertThat(mPolicy.mayBeginFrom(stored).isPast(STARTED_MILLIS + REELECTION_MILLIS))
                .isFalse();
    }

    @Test
    public void firstTermOfAllBeginsAtOnce() {
        assertThat(mayBeginAtOnce(TermRecord.Stored.of(Optional.empty()))).isTrue();
    }

    @Test
    public void newestHolderMayBeginAgainAtOnce() {
        assertThat(mayBeginAtOnce(stored("a", "b"))).isTrue();
    }

    @Test
    public void instanceThatHeldNoRecentTermMayBeginAtOnce() {
        assertThat(mayBeginAtOnce(stored("b", "c"))).isTrue();
    }

    /** Guards against a process that doesn't know the orders of the one before. */
    @Test
    public void earlierHolderWaitsForTheBoundOfTheDeployment() {
        assertWaits(stored("b", "a"));
    }

    @Test
    public void waitCountsFromTheEndOfTheLastTerm() {
        long ended = STARTED_MILLIS + 20_000;
        assertThat(mPolicy.mayBeginFrom(stored("b", "a")).isPast(ended)).isTrue();
        mPolicy.onTermEnded(ended);
        assertThat(mPolicy.mayBeginFrom(stored("b", "a")).isPast(ended + REELECTION_MILLIS))
                .isFalse();
    }

    @Test
    public void incompleteOrUnreadableRecordTellsOfAnyTerm() {
        assertWaits(stored(ERA, ERA, false, "b"));
        KeyValue unreadable =
                new KeyValue(ClusterKeys.TERMS, "{".getBytes(StandardCharsets.UTF_8), 1L << 50);
        assertWaits(TermRecord.Stored.of(Optional.of(unreadable)));
    }

    /** Guards against an old record that a restore of the service has brought back. */
    @Test
    public void recordFromBeforeRestoreProvesNothing() {
        assertWaits(stored(ERA, ERA + 1, true, "a"));
        assertWaits(stored(ERA, ERA + 1, true, "b"));
    }

    /** Guards against the same where the copy is from before the first term. */
    @Test
    public void absentRecordAfterRestoreProvesNothing() {
        mPolicy.onStoreRestored(false, STARTED_MILLIS);
        assertWaits(TermRecord.Stored.of(Optional.empty()));
    }

    @Test
    public void controllerWhoseTermTheRestoreEndedMayBeginAtOnce() {
        mPolicy.onTermEnded(STARTED_MILLIS);
        mPolicy.onStoreRestored(true, STARTED_MILLIS);
        assertThat(mayBeginAtOnce(stored(ERA, ERA + 1, true, "b", "a"))).isTrue();
        assertThat(mayBeginAtOnce(TermRecord.Stored.of(Optional.empty()))).isTrue();
        assertWaits(stored(ERA + 1, ERA + 1, false, "b"));
    }

    @Test
    public void nextRecordStatesNothingOnInstancesThatRestoreMayHaveForgotten() {
        TermRecord next = mPolicy.next(stored(ERA, ERA + 1, true, "b"), 9);
        assertThat(next).isEqualTo(new TermRecord(9, List.of("a", "b"), false));
        assertThat(next.settled()).isEqualTo(new TermRecord(9, List.of("a"), true));
    }

    @Test
    public void recordKeepsEachHolderOnceAndIsIncompleteWithoutTheOldest() {
        TermRecord terms = TermRecord.none();
        for (int i = 0; i < 2 * TermRecord.MAX_HOLDERS; i++) {
            terms = terms.withTerm(i, "p" + i % TermRecord.MAX_HOLDERS);
        }
        assertThat(terms.holders()).hasSize(TermRecord.MAX_HOLDERS).doesNotHaveDuplicates();
        assertThat(terms.complete()).isTrue();
        terms = terms.withTerm(100, "other");
        assertThat(terms.holders()).hasSize(TermRecord.MAX_HOLDERS).startsWith("other");
        assertThat(terms.complete()).isFalse();
    }

    @Test
    public void recordIsReadAsItWasWritten() {
        TermRecord terms = new TermRecord(9, List.of("a", "b"), true);
        KeyValue document = new KeyValue(ClusterKeys.TERMS, Json.write(terms), 12);
        assertThat(TermRecord.Stored.of(Optional.of(document)))
                .isEqualTo(new TermRecord.Stored(terms, 12));
        assertThat(TermRecord.Stored.of(Optional.empty()).revision())
                .isEqualTo(KeyValueStore.ABSENT);
    }
}
