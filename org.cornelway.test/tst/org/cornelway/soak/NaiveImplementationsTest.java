package org.cornelway.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.util.HashMap;
import java.util.Map;
import org.cornelway.bench.soak.FaultMix;
import org.cornelway.bench.soak.IntentRun;
import org.cornelway.bench.soak.PlacementRun;
import org.cornelway.bench.soak.RunReport;
import org.cornelway.intent.IntentDecision;
import org.cornelway.intent.IntentLog;
import org.cornelway.intent.IntentRequest;
import org.cornelway.intent.RecordedOutcome;
import org.cornelway.placement.SpreadPlacement;
import org.cornelway.placement.UnconfirmedReleasePlanner;
import org.testng.annotations.Test;

/**
 * Verifies that the random runs detect violations: naive implementations must fail their checks
 * under the faults of {@link RandomRunsTest}.
 */
public final class NaiveImplementationsTest {
    private static final int STEPS = 600;
    private static final int SEEDS = 10;

    /** An intent log that keeps outcomes only in the memory of one agent. */
    private static final class AgentMemoryIntentLog implements IntentLog {
        private final Map<String, RecordedOutcome> mOutcomes = new HashMap<>();

        @Override
        public Single<IntentDecision> begin(IntentRequest request) {
            RecordedOutcome recorded = mOutcomes.get(request.key());
            return Single.just(
                    recorded == null
                            ? new IntentDecision.Granted()
                            : new IntentDecision.Recorded(recorded));
        }

        @Override
        public void recordOutcome(IntentRequest request, RecordedOutcome outcome) {
            mOutcomes.put(request.key(), outcome);
        }

        @Override
        public void abandon(IntentRequest request) {}

        @Override
        public void markOutcomeUnknown(IntentRequest request) {}
    }

    @Test
    public void intentLogInAgentMemoryLetsCallsRunTwice() {
        RunReport report =
                new IntentRun((store, control) -> new AgentMemoryIntentLog())
                        .run(1, STEPS, FaultMix.moderate());
        assertThat(report.violations()).anyMatch(message -> message.contains("ran 2 times"));
    }

    @Test
    public void replicaLimitsAreExceededWithoutUnloadConfirmation() {
        RunReport combinedReport = new RunReport();
        for (int seed = 1; seed <= SEEDS; seed++) {
            combinedReport.add(
                    new PlacementRun(() -> new UnconfirmedReleasePlanner(new SpreadPlacement()))
                            .run(seed, STEPS, FaultMix.moderate()));
        }
        assertThat(combinedReport.violations())
                .anyMatch(message -> message.contains("replicas of"));
    }
}
