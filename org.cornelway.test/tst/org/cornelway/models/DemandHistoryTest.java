package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.cornelway.traffic.ModelRate;
import org.testng.annotations.Test;

/** Tests what the history of the demand says of models without present calls. */
public class DemandHistoryTest {
    private static final int MODELS = 20;
    private static final long STEP_MILLIS = 250;

    private final DemandHistory mHistory = new DemandHistory(DeferralPolicy.BY_OBJECTIVE);
    private long mNow;

    private void play(Map<String, ModelRate> rates, long millis) {
        for (long i = 0; i < millis; i += STEP_MILLIS) {
            mHistory.update(rates, model -> 3, mNow);
            mNow += STEP_MILLIS;
        }
    }

    private static Map<String, ModelRate> popular() {
        return Map.of("p", new ModelRate(20, 300));
    }

    /** Guards against replicas that are lost between two periods of popularity. */
    @Test
    public void popularModelKeepsItsReplicas() {
        mHistory.clear();
        play(popular(), 5_000);
        play(Map.of(), 30_000);
        assertThat(mHistory.retainedReplicas("p", mNow)).isEqualTo(3);
        play(Map.of(), 40_000);
        assertThat(mHistory.retainedReplicas("p", mNow)).isZero();
    }

    @Test
    public void averageFollowsDemandSlowly() {
        mHistory.clear();
        play(popular(), 20_000);
        assertThat(mHistory.callsPerSecond("p")).isBetween(19.0, 21.0);
        play(Map.of(), 10_000);
        assertThat(mHistory.callsPerSecond("p")).isBetween(5.0, 15.0);
    }

    /** Guards against evicting a model whose popularity begins only later. */
    @Test
    public void modelWithoutKnownCallIsExpectedToBeCalledAsOthers() {
        mHistory.clear();
        play(popular(), 1_000);
        ModelRate unknown = mHistory.expected("x", MODELS, ModelRate.NONE);
        assertThat(unknown.callsPerSecond()).isBetween(0.9, 1.1);
        assertThat(unknown.objectiveMillis()).isEqualTo(300);
        play(popular(), 240_000);
        assertThat(mHistory.expected("x", MODELS, ModelRate.NONE).callsPerSecond()).isLessThan(0.1);
    }

    /** Guards against a rare model that counts as popular because of one early call. */
    @Test
    public void fewCallsOfDeferrableModelSayLittle() {
        mHistory.clear();
        Map<String, ModelRate> rates = new HashMap<>(popular());
        rates.put("r", new ModelRate(2, 8_000));
        play(rates, 500);
        assertThat(mHistory.isDeferrable("r")).isTrue();
        assertThat(mHistory.expected("r", MODELS, ModelRate.NONE).callsPerSecond()).isLessThan(0.5);
    }
}
