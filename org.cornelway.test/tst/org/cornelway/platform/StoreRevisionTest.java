package org.cornelway.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;

import org.testng.annotations.Test;

/** Tests that revisions rise over the restores of a service. */
public class StoreRevisionTest {
    private static final long MAX_COUNTER = (1L << 40) - 1;

    @Test
    public void revisionKeepsItsParts() {
        qt().withFixedSeed(1)
                .forAll(longs().between(0, StoreRevision.MAX_ERA), longs().between(0, MAX_COUNTER))
                .check(
                        (era, counter) -> {
                            long revision = StoreRevision.of(era, counter);
                            return StoreRevision.era(revision) == era
                                    && StoreRevision.counter(revision) == counter
                                    && revision < 1L << 53;
                        });
    }

    @Test
    public void writeOfLaterEraComesAfterAllWritesBefore() {
        assertThat(StoreRevision.of(2, 0)).isGreaterThan(StoreRevision.of(1, MAX_COUNTER));
    }

    @Test
    public void followingRevisionIsBeforeTheNextWrite() {
        long write = StoreRevision.of(3, 7);
        assertThat(StoreRevision.following(write)).isBetween(write + 1, StoreRevision.of(3, 8) - 1);
    }

    @Test
    public void valuesOutOfRangeAreRejected() {
        assertThatThrownBy(() -> StoreRevision.of(StoreRevision.MAX_ERA + 1, 1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StoreRevision.of(1, -1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StoreRevision.of(1, MAX_COUNTER + 1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
