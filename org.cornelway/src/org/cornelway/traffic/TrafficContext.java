package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import org.cornelway.dispatch.Holdings;
import org.cornelway.dispatch.ServerChooser;
import org.cornelway.dispatch.ServerLoads;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.time.Clock;

/**
 * What every call needs. Immutable; its parts are confined to the traffic thread.
 *
 * @param loop the traffic thread
 * @param codec names on the wire
 * @param pool connections to backend servers
 * @param view what the control thread decided last
 * @param chooser choice of backend server
 * @param loads knowledge from own calls
 * @param holdings which engine holds what
 * @param retryBudget bound on what is sent again
 * @param modelRequester source of models
 * @param usage what is in use, for the controller
 * @param clock monotonic time
 * @param log decisions
 * @param metrics counters
 */
record TrafficContext(
        EventLoop loop,
        CallCodec codec,
        UpstreamPool pool,
        Supplier<TrafficView> view,
        ServerChooser chooser,
        ServerLoads loads,
        Holdings holdings,
        SlidingWindowRetryBudget retryBudget,
        ModelRequester modelRequester,
        ModelUsage usage,
        Clock clock,
        EventLog log,
        MetricRegistry metrics) {}
