package org.cornelway.supervisor;

import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A task of which an exception or an error ends only the run that threw it, so that a scheduler
 * goes on calling it. Failures are logged and counted. As thread-safe as the task itself.
 */
public final class GuardedTask implements Runnable {
    private static final Logger LOG = LogManager.getLogger(GuardedTask.class);

    private final String mName;
    private final MetricRegistry mMetrics;
    private final Runnable mBody;

    /**
     * @param name name in logs
     */
    public GuardedTask(String name, MetricRegistry metrics, Runnable body) {
        mName = name;
        mMetrics = metrics;
        mBody = body;
    }

    @Override
    public void run() {
        try {
            mBody.run();
        } catch (RuntimeException | Error e) {
            mMetrics.counter("supervisor.failures").inc();
            LOG.error("task {} failed", mName, e);
        }
    }
}
