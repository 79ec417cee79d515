package org.cornelway.traffic;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the steps of one call.
 *
 * <p>Invariant: an unexpected error of a step ends its call, so that the caller does not wait for
 * the deadline, and does not reach the caller of the step, which may work on other calls too.
 * Confined to the traffic thread; lives as long as its call.
 */
final class CallGuard {
    private static final Logger LOG = LogManager.getLogger(CallGuard.class);

    private final TrafficContext mContext;
    private final String mRequestId;
    private final Consumer<String> mOnError;

    /**
     * @param onError ends the call for the given reason
     */
    CallGuard(TrafficContext context, String requestId, Consumer<String> onError) {
        mContext = context;
        mRequestId = requestId;
        mOnError = onError;
    }

    /** Runs a step now. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            mContext.metrics().counter("callers.faults").inc();
            LOG.error("call {} is ended because of an unexpected error", mRequestId, e);
            mOnError.accept("unexpected error: " + e);
        }
    }

    /** Runs a step after a delay. */
    void schedule(Runnable step, long delayMillis) {
        EventLoop loop = mContext.loop();
        loop.schedule(() -> run(step), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step after the event loop has read all connections once more. */
    void afterNextRead(Runnable step) {
        mContext.afterNextRead(() -> run(step));
    }
}
