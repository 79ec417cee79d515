package org.cornelway.agent;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelway.admission.AdmissionQueue;
import org.cornelway.admission.QueuedRequest;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.ResultCode;
import org.cornelway.time.Deadline;

/**
 * Base class of the work handlers; holds the open exchanges and their admission queue.
 *
 * <p>Invariant: the queue contains each open exchange, either as waiting or as running. Confined to
 * the control thread.
 */
abstract class QueuedWorkHandler implements WorkHandler {
    /**
     * A waiting request is refused this long before its deadline, so that the refusal reaches the
     * caller before the deadline.
     */
    static final long REFUSAL_MARGIN_MILLIS = 70;

    private final AdmissionQueue mQueue;
    private final Scheduler mControl;
    private final MetricRegistry mMetrics;
    private final Map<String, AgentExchange> mOpenExchanges = new HashMap<>();

    QueuedWorkHandler(AdmissionQueue queue, Scheduler control, MetricRegistry metrics) {
        mQueue = queue;
        mControl = control;
        mMetrics = metrics;
    }

    final AdmissionQueue queue() {
        return mQueue;
    }

    final Scheduler control() {
        return mControl;
    }

    final MetricRegistry metrics() {
        return mMetrics;
    }

    /** Returns the waiting and running exchanges by request id; subclasses modify the map. */
    final Map<String, AgentExchange> openExchanges() {
        return mOpenExchanges;
    }

    /** Returns the current time of the control scheduler in milliseconds. */
    final long now() {
        return mControl.now(TimeUnit.MILLISECONDS);
    }

    /**
     * Ends an exchange and counts its outcome by result code.
     *
     * @param notRun whether it is certain that the request did not run
     */
    final void end(AgentExchange exchange, Outcome outcome, boolean notRun) {
        exchange.end(outcome, notRun);
        mMetrics.counter("agent.ended." + outcome.code()).inc();
    }

    @Override
    public final void refuseWaiting(ResultCode code, String message) {
        for (QueuedRequest queued : List.copyOf(mQueue.waiting())) {
            mQueue.withdraw(queued.requestId());
            end(mOpenExchanges.remove(queued.requestId()), Outcome.failed(code, message), true);
        }
    }

    @Override
    public final int runningCount() {
        return mQueue.runningCount();
    }

    @Override
    public final int waitingCount() {
        return mQueue.waiting().size();
    }

    @Override
    public final int capacity() {
        return mQueue.capacity();
    }

    @Override
    public final long earliestDeadlineMillis() {
        return mQueue.earliestDeadline().map(Deadline::epochMillis).orElse(0L);
    }
}
