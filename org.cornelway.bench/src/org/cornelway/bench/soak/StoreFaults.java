package org.cornelway.bench.soak;

import java.util.Random;
import java.util.function.Supplier;
import org.cornelway.standin.InMemoryKeyValueStore.CallBehavior;

/**
 * Chooses the delay and the fault of each call to the key-value service.
 *
 * <p>Used only by the thread of its run.
 */
final class StoreFaults implements Supplier<CallBehavior> {
    private static final int MAX_DELAY_MILLIS = 5;
    private static final int MAX_SLOW_DELAY_MILLIS = 4_000;

    private final Random mRandom;
    private final FaultMix mMix;
    private final RunReport mReport;
    private boolean mOutage;
    private boolean mFaultsStopped;

    StoreFaults(Random random, FaultMix mix, RunReport report) {
        mRandom = random;
        mMix = mix;
        mReport = report;
    }

    /** Starts or ends an outage, during which every request is lost. */
    void setOutage(boolean outage) {
        if (outage && !mOutage) {
            mReport.countFault(RunReport.FaultKind.OUTAGE);
        }
        mOutage = outage;
    }

    /** Ends an outage and injects no more faults. */
    void stopFaults() {
        mFaultsStopped = true;
        mOutage = false;
    }

    @Override
    public CallBehavior get() {
        long delayMillis = 1 + mRandom.nextInt(MAX_DELAY_MILLIS);
        if (mFaultsStopped) {
            return new CallBehavior(delayMillis, false, false);
        }
        if (mRandom.nextDouble() < mMix.slowCallProbability()) {
            mReport.countFault(RunReport.FaultKind.SLOW_CALL);
            delayMillis = 1 + mRandom.nextInt(MAX_SLOW_DELAY_MILLIS);
        }
        boolean requestLost = mOutage || mRandom.nextDouble() < mMix.callLossProbability();
        boolean responseLost =
                !requestLost && mRandom.nextDouble() < mMix.responseLossProbability();
        if (requestLost) {
            mReport.countFault(RunReport.FaultKind.CALL_LOST);
        }
        if (responseLost) {
            mReport.countFault(RunReport.FaultKind.ANSWER_LOST);
        }
        return new CallBehavior(delayMillis, requestLost, responseLost);
    }
}
