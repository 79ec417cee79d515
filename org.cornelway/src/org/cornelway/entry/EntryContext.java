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
 * What every exchange of an entry works with. Immutable; all parts are thread-safe.
 *
 * @param gateway the way to the agents
 * @param chooser chooses agents
 * @param loads what is known of the agents' load
 * @param view the current routing snapshot
 * @param revisions document revisions
 * @param retryBudget bounds what is sent again
 * @param scheduler runs the exchanges
 * @param random gives a number from 0 up to its argument
 * @param invariants checks
 * @param metrics counters
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
