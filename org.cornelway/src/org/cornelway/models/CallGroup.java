package org.cornelway.models;

import org.cornelway.time.Deadline;

/**
 * The calls that wait for one model. Immutable.
 *
 * @param from entry that has the calls; empty if unknown or several
 * @param count number of calls
 * @param objectiveMillis shortest latency objective; 0 if unknown, as from an entry of an earlier
 *     build
 * @param objective when the first objective passes; not used if the objective is unknown
 */
public record CallGroup(String from, int count, long objectiveMillis, Deadline objective) {
    /** One call whose objective is unknown. */
    public static final CallGroup UNKNOWN = new CallGroup("", 1, 0, new Deadline(0));

    /** Returns this group without its calls, which a later request of the entry counts again. */
    CallGroup withoutCalls() {
        return new CallGroup(from, 0, objectiveMillis, objective);
    }

    /** Returns both groups as one. If an objective is unknown, that of the result is too. */
    CallGroup plus(CallGroup other) {
        boolean isKnown = objectiveMillis > 0 && other.objectiveMillis > 0;
        return new CallGroup(
                from.equals(other.from) ? from : "",
                count + other.count,
                isKnown ? Math.min(objectiveMillis, other.objectiveMillis) : 0,
                objective.compareTo(other.objective) < 0 ? objective : other.objective);
    }
}
