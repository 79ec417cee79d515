package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cornelway.overload.ArrivalOrder;
import org.cornelway.overload.LeastLoss;
import org.cornelway.overload.OverloadPolicy;
import org.cornelway.overload.OverloadState;
import org.cornelway.route.Customer;
import org.cornelway.route.Route;
import org.cornelway.route.RouteTable;
import org.cornelway.time.Clock;

/**
 * What the calls of this process share for the decisions under overload. Confined to the traffic
 * thread.
 */
final class OverloadControl {
    /**
     * Objective above which a call can wait for others. Configurations with shorter ones only, and
     * without customers, keep the order of arrival.
     */
    private static final long SHORT_OBJECTIVE_MILLIS = 3_000;

    private final OverloadPolicy mArrivalOrder = new ArrivalOrder();
    private final OverloadPolicy mLeastLoss = new LeastLoss();
    private final OverloadState mState = new OverloadState();
    private final WaitingCalls mWaiting;

    /** The table from which the fields below were derived. */
    private Optional<RouteTable> mTable = Optional.empty();

    private OverloadPolicy mPolicy = mArrivalOrder;
    private Set<Integer> mPriorities = Set.of();

    OverloadControl(EventLoop loop, Clock clock, MetricRegistry metrics) {
        mWaiting = new WaitingCalls(loop, clock, mState, metrics);
    }

    /** Returns the policy of the configuration in force. */
    OverloadPolicy policy(TrafficView view) {
        refresh(view);
        return mPolicy;
    }

    /** Whether calls are delayed or refused by their loss. */
    boolean isLeastLoss(TrafficView view) {
        return policy(view) == mLeastLoss;
    }

    /** Returns all priorities that calls may have. */
    Set<Integer> priorities(TrafficView view) {
        refresh(view);
        return mPriorities;
    }

    OverloadState state() {
        return mState;
    }

    WaitingCalls waiting() {
        return mWaiting;
    }

    private void refresh(TrafficView view) {
        if (mTable.isPresent()
                && view.routes().isPresent()
                && mTable.get() == view.routes().get()) {
            return;
        }
        mTable = view.routes();
        Set<Integer> priorities = new HashSet<>();
        boolean leastLoss = false;
        if (mTable.isPresent()) {
            for (Route route : mTable.get().configuration().routes()) {
                priorities.add(route.priority());
                leastLoss |= route.targetLatencyMillis() > SHORT_OBJECTIVE_MILLIS;
            }
            for (Customer customer : mTable.get().configuration().customers()) {
                customer.priority().ifPresent(priorities::add);
                leastLoss = true;
            }
        }
        mPriorities = priorities;
        mPolicy = leastLoss ? mLeastLoss : mArrivalOrder;
    }
}
