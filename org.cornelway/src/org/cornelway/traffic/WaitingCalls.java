package org.cornelway.traffic;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelway.overload.CallLoss;
import org.cornelway.overload.OverloadState;
import org.cornelway.overload.PendingCall;
import org.cornelway.supervisor.GuardedTask;
import org.cornelway.time.Clock;

/**
 * The calls that wait here for a short time since the servers of their service are full. They are
 * dispatched again every few milliseconds, those with the highest loss first. Confined to the
 * traffic thread.
 */
final class WaitingCalls {
    /** A small part of the time that a call waits here. */
    private static final long INTERVAL_MILLIS = 20;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final OverloadState mState;
    private final GuardedTask mTask;
    private final Map<PendingCall, Waiter> mWaiters = new HashMap<>();
    private boolean mScheduled;

    /** Number of calls, for readers on other threads. */
    private volatile int mSize;

    /** Handles the end of a call's wait. */
    interface Waiter {
        /** Dispatches the call again; it may wait again. */
        void dispatch();

        /** Refuses the call since another one takes its place. */
        void giveWay(PendingCall successor);
    }

    WaitingCalls(EventLoop loop, Clock clock, OverloadState state, MetricRegistry metrics) {
        mLoop = loop;
        mClock = clock;
        mState = state;
        mTask = new GuardedTask("dispatch of waiting calls", metrics, this::dispatchAll);
    }

    /** Adds a call. */
    void add(PendingCall call, Waiter waiter) {
        mWaiters.put(call, waiter);
        mSize = mWaiters.size();
        if (!mScheduled) {
            mScheduled = true;
            mLoop.schedule(mTask, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Removes a call, if it waits. */
    void remove(PendingCall call) {
        mWaiters.remove(call);
        mSize = mWaiters.size();
    }

    /** Ends the wait of a call so that another one can wait. */
    void replace(PendingCall call, PendingCall successor) {
        Waiter waiter = mWaiters.remove(call);
        mSize = mWaiters.size();
        if (waiter != null) {
            waiter.giveWay(successor);
        }
    }

    /** Returns the calls of a service that wait. */
    List<PendingCall> of(String service) {
        return mWaiters.keySet().stream().filter(call -> call.service().equals(service)).toList();
    }

    /** Returns the number of calls that wait; may be called on any thread. */
    int size() {
        return mSize;
    }

    private void dispatchAll() {
        mScheduled = false;
        long now = mClock.nowMillis();
        Map<PendingCall, Waiter> waiters = Map.copyOf(mWaiters);
        mWaiters.clear();
        mSize = 0;
        Map<String, List<PendingCall>> byService = new HashMap<>();
        waiters.keySet()
                .forEach(
                        call ->
                                byService
                                        .computeIfAbsent(call.service(), key -> new ArrayList<>())
                                        .add(call));
        byService.forEach(
                (service, calls) ->
                        calls.stream()
                                .sorted(
                                        CallLoss.refusedFirst(mState.typicalTokens(service), now)
                                                .reversed())
                                .forEach(call -> waiters.get(call).dispatch()));
    }
}
