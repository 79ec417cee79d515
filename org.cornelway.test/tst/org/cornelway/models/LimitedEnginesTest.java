package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.Test;

/** Tests what the controller does about engines that take fewer calls than they have places for. */
public class LimitedEnginesTest extends ModelControllerTestBase {
    private static ModelRequestOutcome heldBy(String engine) {
        return new ModelRequestOutcome.Held(SimulatedEngine.record(engine).incarnation());
    }

    /** Plays a model whose only engine takes fewer calls than callers have. */
    @Test
    public void modelOfLimitedEngineIsLoadedOnAnother() {
        addEngine("e1", "m1");
        addEngine("e2", "m2");
        beginTerm();
        runFor(700);
        mLimits.mLimited.add("e1");
        request("m1", 5_000);
        runFor(300);
        assertThat(mEngines.get("e2").models()).contains("m1");
        assertThat(mOutcomes).containsExactly(heldBy("e2"));
    }

    @Test
    public void unlimitedEngineIsNamedAndNoModelIsLoadedOnLimitedOnes() {
        addEngine("e1", "m1");
        addEngine("e2", "m1", "m2");
        addEngine("e3", "m2");
        mLimits.mLimited.addAll(Set.of("e1", "e3"));
        beginTerm();
        runFor(700);
        request("m1", 5_000);
        request("m3", 5_000);
        runFor(1_500);
        assertThat(mOutcomes).contains(heldBy("e2"));
        assertThat(mEngines.get("e1").models()).doesNotContain("m3");
        assertThat(mEngines.get("e3").models()).doesNotContain("m3");
        assertThat(mEngines.get("e2").models()).contains("m3");
    }

    /** Guards against callers that wait for another engine although there is none. */
    @Test
    public void requestIsAnsweredLongBeforeItsDeadlineIfAllEnginesAreLimited() {
        addEngine("e1", "m1", "m2");
        beginTerm();
        runFor(700);
        mLimits.mLimited.add("e1");
        request("m1", 60_000);
        runFor(1_000);
        assertThat(mOutcomes).containsExactly(heldBy("e1"));
    }

    @Test
    public void requestWaitsForThePermitThatTheLimitedEngineHas() {
        addEngine("e1", "m1");
        addEngine("e2", "m2");
        beginTerm();
        runFor(700);
        mLimits.mLimited.add("e1");
        mLimits.mHasPermit = true;
        request("m1", 5_000);
        runFor(100);
        assertThat(mOutcomes).isEmpty();
        assertThat(mEngines.get("e2").models()).doesNotContain("m1");
    }
}
