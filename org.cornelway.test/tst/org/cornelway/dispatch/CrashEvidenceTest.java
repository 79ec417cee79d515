package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cornelway.directory.ServerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which parts of prompts are blocked after crashes, and which are not. */
public class CrashEvidenceTest {
    private static final List<String> DEADLY = List.of("first", "deadly");
    private static final List<String> SOUND = List.of("first", "sound");

    private CrashEvidence mEvidence;
    private long mNow;
    private int mServers;

    @BeforeMethod
    public void setUp() {
        mEvidence = new CrashEvidence();
        mNow = 1_000_000;
        mServers = 0;
    }

    private ServerIncarnation newServer() {
        mServers++;
        return new ServerIncarnation("s" + mServers, mServers);
    }

    /** Lets a server crash 50 ms after calls with these prompts were sent to it. */
    @SafeVarargs
    private void crash(List<String>... prompts) {
        ServerIncarnation server = newServer();
        long sent = mNow;
        mNow += 50;
        for (List<String> prompt : prompts) {
            mEvidence.recordCrash(prompt, server, sent, mNow);
        }
        mNow += 100;
    }

    private boolean isBlocked(List<String> parts) {
        return mEvidence.blockedUntil(parts, mNow).isPresent();
    }

    @Test
    public void partOfThreeCrashesIsBlockedAndPartsThatWereAnsweredAreNot() {
        mEvidence.recordAnswered(SOUND, mNow);
        crash(DEADLY);
        crash(DEADLY);
        assertThat(isBlocked(DEADLY)).isFalse();
        crash(DEADLY);
        assertThat(isBlocked(DEADLY)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void callsThatRanBesideTheDeadlyOneAreNotBlocked() {
        mEvidence.recordAnswered(List.of("first"), mNow);
        crash(DEADLY, SOUND);
        crash(DEADLY, SOUND);
        crash(DEADLY, List.of("first", "other"));
        crash(DEADLY, SOUND);
        assertThat(isBlocked(DEADLY)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
        assertThat(isBlocked(List.of("first", "other"))).isFalse();
    }

    @Test
    public void twoDeadlyPartsAreBothBlocked() {
        mEvidence.recordAnswered(List.of("first"), mNow);
        List<String> second = List.of("first", "deadly-2");
        crash(DEADLY, SOUND);
        crash(second, SOUND);
        crash(DEADLY);
        crash(second);
        crash(DEADLY);
        crash(second);
        assertThat(isBlocked(DEADLY)).isTrue();
        assertThat(isBlocked(second)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void partsThatNoCrashTellsApartAreBlockedUntilOneIsAnswered() {
        crash(List.of("deadly", "beside"));
        crash(List.of("deadly", "beside"));
        crash(List.of("deadly", "beside"));
        assertThat(isBlocked(List.of("beside"))).isTrue();
        mEvidence.recordAnswered(List.of("beside"), mNow);
        assertThat(isBlocked(List.of("beside"))).isFalse();
        assertThat(isBlocked(List.of("deadly"))).isTrue();
    }

    @Test
    public void partThatAllCallsShareIsNotBlockedForOneBehindIt() {
        crash(DEADLY);
        crash(DEADLY);
        crash(DEADLY);
        assertThat(isBlocked(DEADLY)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void firstPartIsBlockedIfCallsWithoutTheOneBehindItCrashServersToo() {
        crash(DEADLY);
        crash(DEADLY);
        crash(DEADLY);
        crash(SOUND);
        assertThat(isBlocked(List.of("first"))).isTrue();
        assertThat(isBlocked(List.of("deadly"))).isFalse();
    }

    @Test
    public void serversThatFailTogetherBlockNothing() {
        long sent = mNow;
        mNow += 200;
        for (int i = 0; i < 10; i++) {
            mEvidence.recordCrash(SOUND, newServer(), sent, mNow + i);
        }
        mNow += 20;
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void answerElsewhereUnblocksThePart() {
        crash(SOUND);
        crash(SOUND);
        crash(SOUND);
        assertThat(isBlocked(SOUND)).isTrue();
        mEvidence.merge(List.of(), SOUND, mNow);
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void blockEndsAndOneMoreCrashBlocksForLonger() {
        crash(DEADLY);
        crash(DEADLY);
        crash(DEADLY);
        mNow += CrashEvidence.BLOCK_MILLIS;
        mEvidence.expire(mNow);
        assertThat(isBlocked(DEADLY)).isFalse();
        crash(DEADLY);
        mNow += CrashEvidence.BLOCK_MILLIS;
        assertThat(isBlocked(DEADLY)).isTrue();
    }

    @Test
    public void crashesFarApartBlockNothing() {
        for (int i = 0; i < 5; i++) {
            crash(SOUND);
            mNow += CrashEvidence.SUSPICION_MILLIS + 1;
            mEvidence.expire(mNow);
        }
        assertThat(isBlocked(SOUND)).isFalse();
        assertThat(mEvidence.snapshot().crashes()).isEmpty();
    }

    @Test
    public void randomPartsDoNotGrowTheEvidenceOrUnblockThePart() {
        crash(DEADLY);
        crash(DEADLY);
        crash(DEADLY);
        for (int i = 0; i < 3 * CrashEvidence.MAX_PARTS; i++) {
            crash(List.of("random-" + i));
        }
        assertThat(mEvidence.snapshot().crashes().size())
                .isLessThanOrEqualTo(CrashEvidence.MAX_PARTS + 4);
        assertThat(isBlocked(List.of("deadly"))).isTrue();
    }

    @Test
    public void processesThatExchangeEvidenceInAnyOrderBlockTheSameParts() {
        mEvidence.recordAnswered(List.of("first"), mNow);
        crash(DEADLY, SOUND);
        crash(DEADLY);
        crash(DEADLY, SOUND);
        List<PartCrash> crashes = new ArrayList<>(mEvidence.snapshot().crashes());
        Random random = new Random(1);
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(crashes, random);
            CrashEvidence other = new CrashEvidence();
            crashes.forEach(
                    crash -> other.merge(List.of(crash), mEvidence.snapshot().cleared(), mNow));
            assertThat(other.blockedUntil(DEADLY, mNow))
                    .isEqualTo(mEvidence.blockedUntil(DEADLY, mNow));
            assertThat(other.blockedUntil(List.of("sound"), mNow)).isEmpty();
        }
    }

    @Test
    public void crashesSeenByDifferentProcessesAddUp() {
        CrashEvidence other = new CrashEvidence();
        crash(DEADLY);
        crash(DEADLY);
        ServerIncarnation third = newServer();
        other.recordCrash(DEADLY, third, mNow, mNow + 50);
        mNow += 100;
        CrashEvidence.Snapshot snapshot = mEvidence.snapshot();
        other.merge(snapshot.crashes(), snapshot.cleared(), mNow);
        assertThat(other.blockedUntil(DEADLY, mNow)).isPresent();
    }
}
