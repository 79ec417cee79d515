package org.cornelway.traffic;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
    private final Runnable mOnRepeatedError;

    /**
     * @param onError ends the call for the given reason
     * @param onRepeatedError ends the call if that fails too
     */
    CallGuard(
            TrafficContext context,
            String requestId,
            Consumer<String> onError,
            Runnable onRepeatedError) {
        mContext = context;
        mRequestId = requestId;
        mOnError = onError;
        mOnRepeatedError = onRepeatedError;
    }

    /** Runs a step now. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            record("call", e);
            try {
                mOnError.accept(reason(e));
            } catch (RuntimeException repeated) {
                record("call", repeated);
                mOnRepeatedError.run();
            }
        }
    }

    /**
     * Runs a step of one of the call's sends now.
     *
     * @param endsSend ends the send for the given reason if another one goes on with the call;
     *     returns whether one does
     */
    void runSend(Runnable step, Predicate<String> endsSend) {
        run(
                () -> {
                    try {
                        step.run();
                    } catch (RuntimeException e) {
                        if (!endsSend.test(reason(e))) {
                            throw e;
                        }
                        record("a send of call", e);
                    }
                });
    }

    private static String reason(RuntimeException e) {
        return "unexpected error: " + e;
    }

    private void record(String what, RuntimeException e) {
        mContext.metrics().counter("callers.faults").inc();
        LOG.error("{} {} is ended because of an unexpected error", what, mRequestId, e);
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
