package org.cornelway.bench.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts of the operations and faults of a random run, and the violations that it found.
 *
 * <p>Not thread-safe; used only by the thread of its run.
 */
public final class RunReport {
    private final Map<FaultKind, Long> mFaults = new EnumMap<>(FaultKind.class);
    private final List<String> mViolations = new ArrayList<>();
    private long mOperations;

    /** Faults and other disturbances that runs inject. */
    public enum FaultKind {
        /** The request of a call to the key-value service was lost. */
        CALL_LOST,
        /** The response of a call to the key-value service was lost. */
        ANSWER_LOST,
        /** A call to the key-value service was delayed by up to several seconds. */
        SLOW_CALL,
        /** The key-value service lost all requests for some time. */
        OUTAGE,
        AGENT_KILLED,
        AGENT_FROZEN,
        INSTANCE_REPLACED,
        INSTANCE_LEAVING,
        /** A connection dropped all further traffic without an error. */
        CONNECTION_SILENT,
        /** A connection broke, and the call that was sending on it ended with an error. */
        CONNECTION_BROKEN,
        FRAME_REPEATED,
        /** The response of an engine to an order was lost. */
        ORDER_ANSWER_LOST,
        PRESET_SWITCHED,
        /** Two operators switched the preset at the same time. */
        OPERATORS_RACED
    }

    /** Counts an operation. */
    public void countOperation() {
        mOperations++;
    }

    /** Counts an injected fault. */
    public void countFault(FaultKind kind) {
        mFaults.merge(kind, 1L, Long::sum);
    }

    /**
     * Records a violation unless a condition holds.
     *
     * @param message what was violated
     */
    public void check(boolean holds, String message) {
        if (!holds) {
            mViolations.add(message);
        }
    }

    /** Adds the counts and violations of another run. */
    public void add(RunReport other) {
        mOperations += other.mOperations;
        other.mFaults.forEach((kind, count) -> mFaults.merge(kind, count, Long::sum));
        mViolations.addAll(other.mViolations);
    }

    /** Number of operations; each run defines what it counts as one. */
    public long operations() {
        return mOperations;
    }

    /** Number of injected faults by kind. */
    public Map<FaultKind, Long> faults() {
        return mFaults;
    }

    /** Messages of the violated checks; empty if the run passed. */
    public List<String> violations() {
        return mViolations;
    }
}
