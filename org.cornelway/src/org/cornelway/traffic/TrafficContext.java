package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.dispatch.Holdings;
import org.cornelway.dispatch.LimitBackoff;
import org.cornelway.dispatch.ServerChooser;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.dispatch.ServerLoads;
import org.cornelway.dispatch.ServerNotices;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.time.Clock;

/**
 * The dependencies that all calls share. Immutable; its components are confined to the traffic
 * thread.
 *
 * @param loop event loop of the traffic thread
 * @param codec translates HTTP headers
 * @param pool connections to backend servers and to the platform
 * @param view the state last published by the control thread
 * @param chooser chooses the backend server of a call
 * @param loads load and failures of backend servers, as seen from calls of this process
 * @param notices what backend servers have said about themselves in their answers
 * @param limits rates that backend servers take, and the permits for calls to them
 * @param limitBackoff chooses when callers come back that were refused for a limit
 * @param holdings models and adapters that each engine holds
 * @param retryBudget limits how often calls are resent
 * @param modelRequester requests models from the controller
 * @param usage calls in progress and call rates, reported to the controller
 * @param evidence parts of prompts that crash servers
 * @param overload what calls share for the decisions under overload
 * @param quotas admits calls within the quotas of their customers
 * @param clock monotonic clock
 * @param loopDelay measures how late the traffic thread is
 * @param drain how far the drain of this process has come
 * @param log log of structured events
 * @param metrics registry for counters
 */
record TrafficContext(
        EventLoop loop,
        CallCodec codec,
        UpstreamPool pool,
        Supplier<TrafficView> view,
        ServerChooser chooser,
        ServerLoads loads,
        ServerNotices notices,
        ServerLimits limits,
        LimitBackoff limitBackoff,
        Holdings holdings,
        SlidingWindowRetryBudget retryBudget,
        ModelRequester modelRequester,
        ModelUsage usage,
        CrashEvidence evidence,
        OverloadControl overload,
        QuotaGate quotas,
        Clock clock,
        LoopDelay loopDelay,
        DrainState drain,
        EventLog log,
        MetricRegistry metrics) {
    private static final long NEXT_ITERATION_MILLIS = 1;

    /** Whether calls may be sent to a server now: it is listed and has not said otherwise. */
    boolean takesCalls(ServerIncarnation server) {
        return view.get().directory().isUsable(server)
                && notices.acceptsCalls(server, clock.nowMillis());
    }

    /**
     * Runs an action after the event loop has read all connections once more. A timer that is set
     * while a connection is read may run in the same iteration of the loop, but one that is set by
     * a task runs in a later iteration, and each iteration reads before it runs timers.
     */
    void afterNextRead(Runnable action) {
        loop.execute(() -> loop.schedule(action, NEXT_ITERATION_MILLIS, TimeUnit.MILLISECONDS));
    }
}
