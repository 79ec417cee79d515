package org.cornelway.entry;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import org.cornelway.invariant.Invariants;
import org.cornelway.routing.AgentChooser;
import org.cornelway.routing.AgentLoadTable;
import org.cornelway.routing.RoutingView;

/**
 * The collaborators that all exchanges of an entry share. Immutable; every component is
 * thread-safe.
 *
 * @param gateway sends calls to the agents
 * @param chooser chooses the agent for a request
 * @param loads the load of the agents as this entry knows it
 * @param view supplies the current routing view
 * @param revisions the document revisions that this entry holds
 * @param retryBudget limits how many requests are submitted again
 * @param scheduler runs the exchanges
 * @param random returns a random number from 0, inclusive, to its argument, exclusive
 * @param invariants reports violated invariants
 * @param metrics registry of the entry's counters
 */
public record EntryContext(
        AgentGateway gateway,
        AgentChooser chooser,
        AgentLoadTable loads,
        Supplier<RoutingView> view,
        DocumentRevisions revisions,
        RetryBudget retryBudget,
        Scheduler scheduler,
        IntUnaryOperator random,
        Invariants invariants,
        MetricRegistry metrics) {}
