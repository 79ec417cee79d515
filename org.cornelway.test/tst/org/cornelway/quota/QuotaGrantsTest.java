package org.cornelway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cornelway.route.Customer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what one entry does with the tokens that it is granted. */
public class QuotaGrantsTest {
    private static final Customer NORTH = QuotaFleet.customer("north", 1_000, 1_000);
    private static final long LEDGER = 7;

    private EntryCount mEntries;
    private QuotaGrants mGrants;

    @BeforeMethod
    public void createGrants() {
        mEntries = new EntryCount(0);
        FallbackQuota fallback = new FallbackQuota(QuotaBounds.none(), mEntries);
        mGrants = new QuotaGrants("a", 1, fallback, 0);
    }

    private void grant(double ceiling, long waitMillis, long nowMillis) {
        QuotaReply.Grant grant = new QuotaReply.Grant(NORTH.name(), ceiling, ceiling, waitMillis);
        mGrants.applyReply(new QuotaReply(LEDGER, 1, List.of(grant)), nowMillis, nowMillis);
    }

    private QuotaPolicy.Decision take(double cost, long nowMillis) {
        return mGrants.take(NORTH, cost, true, nowMillis);
    }

    private QuotaHold admit(double cost, long nowMillis) {
        return ((QuotaPolicy.Admitted) take(cost, nowMillis)).hold();
    }

    private QuotaReport.Use use(long nowMillis) {
        return mGrants.takeReport(Map.of(), nowMillis).uses().get(0);
    }

    @Test
    public void callWaitsForTheFirstGrant() {
        assertThat(take(10, 0)).isInstanceOf(QuotaPolicy.Waiting.class);
        grant(10, 0, 5);
        assertThat(take(10, 5)).isInstanceOf(QuotaPolicy.Admitted.class);
        assertThat(take(10, 5)).isInstanceOf(QuotaPolicy.Waiting.class);
    }

    @Test
    public void grantsLapse() {
        grant(100, 0, 0);
        assertThat(take(10, QuotaTimes.GRANT_MILLIS)).isInstanceOf(QuotaPolicy.Waiting.class);
        assertThat(use(QuotaTimes.GRANT_MILLIS).spent()).isEqualTo(100);
    }

    /** Guards against tokens that are spent long after they were granted. */
    @Test
    public void tokensOfCallThatIsNotSentAreTakenBack() {
        grant(100, 0, 0);
        QuotaHold hold = admit(100, 0);
        assertThat(mGrants.spend(hold, QuotaTimes.HOLD_MILLIS)).isFalse();
        assertThat(take(100, QuotaTimes.HOLD_MILLIS)).isInstanceOf(QuotaPolicy.Admitted.class);
    }

    @Test
    public void callIsChargedOnceAndRefundedOnlyIfNotSent() {
        grant(100, 0, 0);
        QuotaHold hold = admit(40, 0);
        assertThat(mGrants.spend(hold, 1)).isTrue();
        mGrants.refund(hold, 2);
        assertThat(use(2).spent()).isEqualTo(40);
        QuotaHold other = admit(60, 3);
        mGrants.refund(other, 4);
        mGrants.refund(other, 4);
        assertThat(mGrants.unspent(NORTH.name(), 4)).isEqualTo(60);
    }

    @Test
    public void deniedCallIsRefusedWithTheTrueTime() {
        take(10, 0);
        mGrants.takeReport(Map.of(NORTH.name(), List.of(10.0)), 0);
        grant(0, 900, 0);
        assertThat(take(10, 100)).isEqualTo(new QuotaPolicy.Refused(800));
        assertThat(take(5, 100)).isInstanceOf(QuotaPolicy.Waiting.class);
    }

    @Test
    public void unspentTokensBeyondWhatMayBeKeptAreReturned() {
        QuotaReply.Grant grant = new QuotaReply.Grant(NORTH.name(), 100, 30, 0);
        mGrants.applyReply(new QuotaReply(LEDGER, 1, List.of(grant)), 0, 0);
        assertThat(use(1).returned()).isEqualTo(70);
        assertThat(mGrants.unspent(NORTH.name(), 1)).isEqualTo(30);
    }

    /** Guards against a share that is used while a ledger still counts it. */
    @Test
    public void shareIsUsedOnlyWithoutLedgerAndNotLeftToOneThen() {
        mEntries.recordStored(10, 0);
        long later = QuotaTimes.FALLBACK_AFTER_MILLIS;
        assertThat(mGrants.takeReport(Map.of(), later - 1).sharing()).isTrue();
        assertThat(mGrants.takeReport(Map.of(), later).sharing()).isFalse();
        assertThat(take(50, later + 499)).isInstanceOf(QuotaPolicy.Refused.class);
        assertThat(take(50, later + 500)).isInstanceOf(QuotaPolicy.Admitted.class);
        assertThat(take(101, later + 60_000)).isInstanceOf(QuotaPolicy.Refused.class);
        grant(0, 0, later + 60_000);
        assertThat(take(1, later + 60_000)).isInstanceOf(QuotaPolicy.Waiting.class);
    }

    /** Guards against entries that start together and each use the whole rate. */
    @Test
    public void noShareIsUsedUntilTheMembersAreKnown() {
        mEntries.record(1, 0);
        assertThat(take(10, EntryCount.SETTLE_MILLIS - 1)).isInstanceOf(QuotaPolicy.Refused.class);
        assertThat(take(10, EntryCount.SETTLE_MILLIS + 1_000))
                .isInstanceOf(QuotaPolicy.Admitted.class);
    }
}
