package org.cornelway.overload;

import java.util.List;

/**
 * What an entry knows of the servers that can take a call. Immutable.
 *
 * @param hasRoom whether a server has a free slot
 * @param queueMillis expected wait in the shortest queue, if it is served in order of arrival
 * @param aheadShares share of the queued calls that are served before a call, by the engine
 *     priority of the call
 * @param waitedMillis mean time for which the calls of this entry that wait in servers have waited
 *     so far, by engine priority; 0 if few do
 * @param firstMillis time from the start of a call to its first event or its response
 * @param objectiveMillis typical objective of the calls of the same priority
 * @param typicalTokens work of a typical call
 * @param lowestEnginePriority least urgent engine priority that the call may have without being
 *     mixed with calls of a less urgent priority
 * @param standing how often the call's kind is served in comparison to the others
 * @param backlogMillis time that the servers need for the calls that were refused recently
 * @param maxWaiting number of calls of the service that may wait here
 */
public record ServiceState(
        boolean hasRoom,
        long queueMillis,
        List<Double> aheadShares,
        List<Long> waitedMillis,
        long firstMillis,
        double objectiveMillis,
        double typicalTokens,
        int lowestEnginePriority,
        KindStanding standing,
        long backlogMillis,
        int maxWaiting) {
    /**
     * Returns the expected wait of a call with an engine priority.
     *
     * <p>Calls that arrive later may overtake it, so it is at least what the calls that wait now
     * will have waited: these are halfway, if they began to wait evenly over that time.
     */
    long waitMillis(int enginePriority) {
        return Math.max(
                (long) (queueMillis * aheadShares.get(enginePriority)),
                2 * waitedMillis.get(enginePriority));
    }
}
