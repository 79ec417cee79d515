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
    private static final List<String> POISON = List.of("first", "poison");
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
        crash(POISON);
        crash(POISON);
        assertThat(isBlocked(POISON)).isFalse();
        crash(POISON);
        assertThat(isBlocked(POISON)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void callsThatRanBesideThePoisonOneAreNotBlocked() {
        mEvidence.recordAnswered(List.of("first"), mNow);
        crash(POISON, SOUND);
        crash(POISON, SOUND);
        crash(POISON, List.of("first", "other"));
        crash(POISON, SOUND);
        assertThat(isBlocked(POISON)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
        assertThat(isBlocked(List.of("first", "other"))).isFalse();
    }

    @Test
    public void twoPoisonPartsAreBothBlocked() {
        mEvidence.recordAnswered(List.of("first"), mNow);
        List<String> second = List.of("first", "poison-2");
        crash(POISON, SOUND);
        crash(second, SOUND);
        crash(POISON);
        crash(second);
        crash(POISON);
        crash(second);
        assertThat(isBlocked(POISON)).isTrue();
        assertThat(isBlocked(second)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void partsThatNoCrashTellsApartAreBlockedUntilOneIsAnswered() {
        crash(List.of("poison", "beside"));
        crash(List.of("poison", "beside"));
        crash(List.of("poison", "beside"));
        assertThat(isBlocked(List.of("beside"))).isTrue();
        mEvidence.recordAnswered(List.of("beside"), mNow);
        assertThat(isBlocked(List.of("beside"))).isFalse();
        assertThat(isBlocked(List.of("poison"))).isTrue();
    }

    @Test
    public void partThatAllCallsShareIsNotBlockedForOneBehindIt() {
        crash(POISON);
        crash(POISON);
        crash(POISON);
        assertThat(isBlocked(POISON)).isTrue();
        assertThat(isBlocked(SOUND)).isFalse();
    }

    @Test
    public void firstPartIsBlockedIfCallsWithoutTheOneBehindItCrashServersToo() {
        crash(POISON);
        crash(POISON);
        crash(POISON);
        crash(SOUND);
        assertThat(isBlocked(List.of("first"))).isTrue();
        assertThat(isBlocked(List.of("poison"))).isFalse();
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
        crash(POISON);
        crash(POISON);
        crash(POISON);
        mNow += CrashEvidence.BLOCK_MILLIS;
        mEvidence.expire(mNow);
        assertThat(isBlocked(POISON)).isFalse();
        crash(POISON);
        mNow += CrashEvidence.BLOCK_MILLIS;
        assertThat(isBlocked(POISON)).isTrue();
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
        crash(POISON);
        crash(POISON);
        crash(POISON);
        for (int i = 0; i < 3 * CrashEvidence.MAX_PARTS; i++) {
            crash(List.of("random-" + i));
        }
        assertThat(mEvidence.snapshot().crashes().size())
                .isLessThanOrEqualTo(CrashEvidence.MAX_PARTS + 4);
        assertThat(isBlocked(List.of("poison"))).isTrue();
    }

    @Test
    public void processesThatExchangeEvidenceInAnyOrderBlockTheSameParts() {
        mEvidence.recordAnswered(List.of("first"), mNow);
        crash(POISON, SOUND);
        crash(POISON);
        crash(POISON, SOUND);
        List<PartCrash> crashes = new ArrayList<>(mEvidence.snapshot().crashes());
        Random random = new Random(1);
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(crashes, random);
            CrashEvidence other = new CrashEvidence();
            crashes.forEach(
                    crash -> other.merge(List.of(crash), mEvidence.snapshot().cleared(), mNow));
            assertThat(other.blockedUntil(POISON, mNow))
                    .isEqualTo(mEvidence.blockedUntil(POISON, mNow));
            assertThat(other.blockedUntil(List.of("sound"), mNow)).isEmpty();
        }
    }

    private static ServerIncarnation restarted(long startedMillis) {
        return new ServerIncarnation("restarted", startedMillis);
    }

    /** Lets calls break off, each sent after a restart that is not known; returns the restarts. */
    private List<ServerIncarnation> breakOffCallsToUnknownRestarts(int count) {
        List<ServerIncarnation> starts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            mEvidence.recordCrash(POISON, restarted(1), mNow, mNow + 50);
            starts.add(restarted(mNow + 60));
            mNow += 150;
        }
        return starts;
    }

    @Test
    public void crashesOfRestartsThatBecomeKnownLateAreCounted() {
        List<ServerIncarnation> starts = breakOffCallsToUnknownRestarts(3);
        assertThat(isBlocked(POISON)).isFalse();
        starts.forEach(start -> mEvidence.recordStart(start, mNow));
        assertThat(isBlocked(POISON)).isTrue();
    }

    @Test
    public void crashSeenAfterTheRestartBecameKnownIsCounted() {
        ServerIncarnation start = restarted(mNow);
        mEvidence.recordStart(start, mNow + 150);
        mEvidence.recordCrash(POISON, restarted(1), mNow + 100, mNow + 200);
        assertThat(mEvidence.snapshot().crashes()).extracting(PartCrash::server).contains(start);
    }

    @Test
    public void breaksOfOneIncarnationAndOfOneCallCountOnce() {
        breakOffCallsToUnknownRestarts(5);
        mEvidence.recordStart(restarted(mNow), mNow);
        assertThat(isBlocked(POISON)).isFalse();
        long sent = mNow + 100;
        for (int i = 1; i <= 5; i++) {
            mEvidence.recordStart(restarted(mNow + i), sent);
        }
        mEvidence.recordCrash(POISON, restarted(mNow), sent, sent + 50);
        mNow += 200;
        assertThat(isBlocked(POISON)).isFalse();
    }

    @Test
    public void processesThatSeeDifferentCallsOfLateKnownRestartsBlockTheSameParts() {
        List<ServerIncarnation> starts = breakOffCallsToUnknownRestarts(4);
        starts.forEach(start -> mEvidence.recordStart(start, mNow));
        List<PartCrash> crashes = new ArrayList<>(mEvidence.snapshot().crashes());
        Random random = new Random(2);
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(crashes, random);
            CrashEvidence other = new CrashEvidence();
            crashes.forEach(crash -> other.merge(List.of(crash), List.of(), mNow));
            assertThat(other.blockedUntil(POISON, mNow))
                    .isEqualTo(mEvidence.blockedUntil(POISON, mNow));
        }
    }

    @Test
    public void crashesSeenByDifferentProcessesAddUp() {
        CrashEvidence other = new CrashEvidence();
        crash(POISON);
        crash(POISON);
        ServerIncarnation third = newServer();
        other.recordCrash(POISON, third, mNow, mNow + 50);
        mNow += 100;
        CrashEvidence.Snapshot snapshot = mEvidence.snapshot();
        other.merge(snapshot.crashes(), snapshot.cleared(), mNow);
        assertThat(other.blockedUntil(POISON, mNow)).isPresent();
    }
}
