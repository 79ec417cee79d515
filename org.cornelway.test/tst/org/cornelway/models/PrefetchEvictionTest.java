package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.cornelway.models.PrefetchEviction.ModelUse;
import org.testng.annotations.Test;

/** Tests which models the load of a model that no call waits for may evict. */
public class PrefetchEvictionTest {
    private static final int RUNS = 200;
    private static final int MODELS = 8;

    /** Swaps that are tried in one run, many times as many as any run needs. */
    private static final int TRIES = 20_000;

    /** Swaps after which a run counts as endless. */
    private static final int MAX_SWAPS = 200;

    private static ModelUse idle(int copies) {
        return new ModelUse(copies, 0, false);
    }

    private static ModelUse called(int copies, double callsPerSecond) {
        return new ModelUse(copies, callsPerSecond, true);
    }

    /** Returns whether an eviction is allowed after which the engine has no copy of the model. */
    private static boolean isAllowed(ModelUse loaded, ModelUse evicted) {
        return PrefetchEviction.isAllowed(loaded, evicted, false);
    }

    @Test
    public void lastCopyOfIdleModelDoesNotGiveWayToAnotherIdleModel() {
        assertThat(isAllowed(idle(0), idle(1))).isFalse();
    }

    @Test
    public void secondCopyDoesNotGiveWayToAnotherSecondCopy() {
        assertThat(isAllowed(idle(1), idle(2))).isFalse();
    }

    @Test
    public void secondCopyGivesWayToFirstCopyOfAnotherModel() {
        assertThat(isAllowed(idle(0), idle(2))).isTrue();
    }

    @Test
    public void lastCopyOfIdleModelGivesWayToModelWithCalls() {
        assertThat(isAllowed(called(0, 0.1), idle(1))).isTrue();
    }

    @Test
    public void lastCopyDoesNotGiveWayToModelWithSimilarRate() {
        ModelUse loaded = called(0, 1.2);
        assertThat(isAllowed(loaded, called(1, 1))).isFalse();
    }

    @Test
    public void lastCopyDoesNotGiveWayToSecondCopyOfModelWithMoreCalls() {
        ModelUse loaded = called(1, 10);
        assertThat(isAllowed(loaded, called(1, 1))).isFalse();
    }

    @Test
    public void cachedModelGivesWayToModelWithoutCopies() {
        assertThat(PrefetchEviction.isAllowed(idle(0), idle(1), true)).isTrue();
    }

    @Test
    public void modelWithCallsDoesNotGiveWayToIdleModel() {
        assertThat(PrefetchEviction.isAllowed(idle(0), called(1, 0.1), true)).isFalse();
        assertThat(PrefetchEviction.isAllowed(idle(0), called(3, 0.1), false)).isFalse();
    }

    /** Plays random swaps of models with constant call rates, some of them 0. */
    @Test
    public void modelsWithConstantRatesDoNotReplaceEachOtherForever() {
        for (int seed = 0; seed < RUNS; seed++) {
            assertThat(countSwaps(new Random(seed))).as("seed " + seed).isLessThan(MAX_SWAPS);
        }
    }

    private static int countSwaps(Random random) {
        ModelUse[] models = new ModelUse[MODELS];
        for (int i = 0; i < MODELS; i++) {
            double rate = random.nextBoolean() ? random.nextDouble() * 10 : 0;
            models[i] = new ModelUse(random.nextInt(4), rate, rate > 0);
        }
        int swaps = 0;
        for (int i = 0; i < TRIES; i++) {
            int loaded = random.nextInt(MODELS);
            int evicted = random.nextInt(MODELS);
            boolean isSwap = loaded != evicted && models[evicted].copies() > 0;
            if (isSwap && isAllowed(models[loaded], models[evicted])) {
                models[loaded] = withCopies(models[loaded], 1);
                models[evicted] = withCopies(models[evicted], -1);
                swaps++;
            }
        }
        return swaps;
    }

    private static ModelUse withCopies(ModelUse model, int change) {
        return new ModelUse(model.copies() + change, model.callsPerSecond(), model.hasCalls());
    }
}
