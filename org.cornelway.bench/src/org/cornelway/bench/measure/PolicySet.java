package org.cornelway.bench.measure;

import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import org.cornelway.admission.ClassDeadlineQueuePolicy;
import org.cornelway.admission.FifoQueuePolicy;
import org.cornelway.admission.QueuePolicy;
import org.cornelway.placement.PlacementPolicy;
import org.cornelway.placement.SpreadPlacement;
import org.cornelway.routing.AgentChooser;
import org.cornelway.routing.LoadAwareChooser;
import org.cornelway.routing.RoundRobinChooser;

/**
 * A set of policies that a trial uses together. Immutable.
 *
 * <p>Both sets place models in the same way, so that trials compare only the order of the queue and
 * the choice of the agent.
 *
 * @param name name of the set
 * @param queue order of the requests that wait at an agent
 * @param placement choice of a server for each slot
 * @param chooserFactory creates the agent chooser of each entry
 */
record PolicySet(
        String name,
        QueuePolicy queue,
        PlacementPolicy placement,
        Supplier<AgentChooser> chooserFactory) {
    /** Time before its deadline from which a deferred request counts as interactive. */
    private static final long URGENT_MILLIS = 60_000;

    private static final int INTENT_SHARDS = 16;

    /** Returns the baseline: FIFO queues and round-robin choice of the agent. */
    static PolicySet naive() {
        return new PolicySet(
                "naive", new FifoQueuePolicy(), new SpreadPlacement(), RoundRobinChooser::new);
    }

    /**
     * Returns the policies that the agents and entries of the system use.
     *
     * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
     */
    static PolicySet chosen(IntUnaryOperator random) {
        return new PolicySet(
                "chosen",
                new ClassDeadlineQueuePolicy(URGENT_MILLIS),
                new SpreadPlacement(),
                () -> new LoadAwareChooser(random, INTENT_SHARDS));
    }
}
