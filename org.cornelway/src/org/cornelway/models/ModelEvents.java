package org.cornelway.models;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;

/** Writes the log lines and metrics of the controller's decisions about models. Thread-safe. */
public final class ModelEvents {
    private final EventLog mLog;
    private final Histogram mBatchCalls;
    private final Histogram mBatchWaitMillis;
    private final Counter mStoreRefusals;

    /**
     * @param metrics registry that gets {@code models.batch_calls}, {@code models.batch_wait_ms}
     *     and {@code models.store_refusals}
     */
    public ModelEvents(EventLog log, MetricRegistry metrics) {
        mLog = log;
        mBatchCalls = metrics.histogram("models.batch_calls");
        mBatchWaitMillis = metrics.histogram("models.batch_wait_ms");
        mStoreRefusals = metrics.counter("models.store_refusals");
    }

    void recordAnswer(
            ModelRequest request, int waiting, ModelRequestOutcome outcome, long version) {
        mLog.write(
                "model.answered",
                "model",
                request.target(),
                "waiting",
                waiting,
                "answer",
                outcome,
                "version",
                version);
    }

    /** Records that the calls that were collected for a model got their outcome. */
    void recordBatch(ModelRequest request, String source, String outcome, long waitMillis) {
        mBatchCalls.update(request.calls().count());
        mBatchWaitMillis.update(waitMillis);
        mLog.write(
                "model.batch",
                "model",
                request.target(),
                "calls",
                request.calls().count(),
                "source",
                source,
                "wait_ms",
                waitMillis,
                "outcome",
                outcome);
    }

    /** Records calls that are refused because the store cannot load their model in time. */
    void recordStoreRefusal(ModelRequest request, long expectedMillis) {
        mStoreRefusals.inc(request.calls().count());
        mLog.write(
                "model.store_refused",
                "model",
                request.target(),
                "calls",
                request.calls().count(),
                "expected_ms",
                expectedMillis);
    }

    void recordStoreLoad(long expectedMillis, long actualMillis, int concurrent, int limit) {
        mLog.write(
                "store_load.ended",
                "expected_ms",
                expectedMillis,
                "ms",
                actualMillis,
                "concurrent",
                concurrent,
                "limit",
                limit);
    }

    void recordOrder(ServerRecord server, ServerOrder order, OrderReply reply) {
        mLog.write(
                "engine.order",
                "server",
                server.id(),
                "load",
                order.isLoad(),
                "model",
                order.model(),
                "adapter",
                order.adapter().orElse("-"),
                "orders",
                order.expectedOrders(),
                "fence",
                order.fencingNumber(),
                "reply",
                reply);
    }
}
