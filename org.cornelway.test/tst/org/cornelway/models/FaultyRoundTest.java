package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Tests that an unexpected error of one engine or request ends no other one's round. */
public class FaultyRoundTest extends ModelControllerTestBase {
    private static final int ENGINES = 6;

    private void addEngines() {
        for (int i = 0; i < ENGINES; i++) {
            addEngine("e" + i);
        }
        beginTerm();
    }

    /** Guards against engines that load nothing because a call to another one cannot be made. */
    @Test
    public void errorOfOneEngineDoesNotEndRoundOfOthers() {
        addEngines();
        SimulatedEngine missing = mEngines.remove("e3");
        runFor(700);
        request("m1", 5_000);
        runFor(500);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
        mEngines.put("e3", missing);
        runFor(3_000);
        assertThat(missing.reportReads()).as("reports of the engine once it works").isPositive();
    }

    /** Guards against an engine that gets no order any more after one that could not be sent. */
    @Test
    public void engineGetsOrdersAfterOneThatCouldNotBeSent() {
        addEngine("e0");
        beginTerm();
        runFor(50);
        SimulatedEngine missing = mEngines.remove("e0");
        request("m1", 10_000);
        runFor(100);
        mEngines.put("e0", missing);
        runFor(5_000);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
    }

    /** Guards against models that nobody gets because the request for another one fails. */
    @Test
    public void errorOfOneRequestDoesNotEndRoundOfOthers() {
        mUnplannableModel = "m2";
        addEngines();
        request("m2", 1_000);
        request("m1", 5_000);
        runFor(1_500);
        assertThat(
                        mOutcomes.stream()
                                .map(ModelRequestOutcome::getClass)
                                .collect(Collectors.toSet()))
                .containsExactlyInAnyOrder(
                        ModelRequestOutcome.Held.class, ModelRequestOutcome.TooLate.class);
    }
}
