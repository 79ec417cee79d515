package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which responses end when their memory is exhausted. */
public class ResponseMemoryTest {
    private static final long LIMIT_BYTES = 100;
    private static final long SEED = 36;
    private static final int STEPS = 20_000;
    private static final int SHARES = 40;

    private ResponseMemory mMemory;
    private List<String> mRevoked;

    @BeforeMethod
    public void setUp() {
        mMemory = new ResponseMemory(LIMIT_BYTES);
        mRevoked = new ArrayList<>();
    }

    private ResponseMemory.Share share(String name) {
        return mMemory.newShare(() -> mRevoked.add(name));
    }

    @Test
    public void sharesGrowUpToTheLimit() {
        assertThat(share("a").resize(40)).isTrue();
        assertThat(share("b").resize(60)).isTrue();
        assertThat(mMemory.heldBytes()).isEqualTo(LIMIT_BYTES);
        assertThat(mRevoked).isEmpty();
    }

    /** Guards against the end of a small response because of a large one. */
    @Test
    public void smallResponseTakesTheMemoryOfTheLargest() {
        share("small").resize(30);
        share("large").resize(70);
        assertThat(share("new").resize(10)).isTrue();
        assertThat(mRevoked).containsExactly("large");
        assertThat(mMemory.heldBytes()).isEqualTo(40);
    }

    @Test
    public void largestResponseGetsNoMore() {
        ResponseMemory.Share large = share("large");
        large.resize(70);
        share("small").resize(30);
        assertThat(large.resize(71)).isFalse();
        assertThat(mRevoked).isEmpty();
        assertThat(mMemory.heldBytes()).isEqualTo(30);
    }

    @Test
    public void responseBeyondTheLimitGetsNothing() {
        assertThat(share("only").resize(LIMIT_BYTES + 1)).isFalse();
        assertThat(mMemory.heldBytes()).isZero();
        assertThat(mRevoked).isEmpty();
    }

    @Test
    public void releasedMemoryCanBeUsedAgain() {
        ResponseMemory.Share first = share("first");
        first.resize(LIMIT_BYTES);
        first.release();
        first.release();
        assertThat(share("second").resize(LIMIT_BYTES)).isTrue();
        assertThat(mRevoked).isEmpty();
    }

    @Test
    public void limitHoldsWhateverResponsesDo() {
        Random random = new Random(SEED);
        List<ResponseMemory.Share> shares = new ArrayList<>();
        for (int i = 0; i < SHARES; i++) {
            shares.add(share("share"));
        }
        for (int i = 0; i < STEPS; i++) {
            ResponseMemory.Share share = shares.get(random.nextInt(SHARES));
            if (random.nextBoolean()) {
                share.resize(random.nextInt((int) LIMIT_BYTES));
            } else {
                share.release();
            }
            assertThat(mMemory.heldBytes()).isBetween(0L, LIMIT_BYTES);
        }
        shares.forEach(ResponseMemory.Share::release);
        assertThat(mMemory.heldBytes()).isZero();
    }
}
