package org.cornelway.entry;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the tasks of one exchange. An unexpected error of a task is passed on, instead of being
 * dropped by the scheduler. As thread-safe as its worker.
 */
final class GuardedWorker {
    private static final Logger LOG = LogManager.getLogger(GuardedWorker.class);

    private final Scheduler.Worker mWorker;
    private final Consumer<RuntimeException> mOnError;

    /**
     * @param onError called on the worker with the error of a task
     */
    GuardedWorker(Scheduler.Worker worker, Consumer<RuntimeException> onError) {
        mWorker = worker;
        mOnError = onError;
    }

    void schedule(Runnable task) {
        mWorker.schedule(() -> run(task));
    }

    void schedule(Runnable task, long delay, TimeUnit unit) {
        mWorker.schedule(() -> run(task), delay, unit);
    }

    void schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
        mWorker.schedulePeriodically(() -> run(task), initialDelay, period, unit);
    }

    void dispose() {
        mWorker.dispose();
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a request is ended because of an unexpected error", e);
            mOnError.accept(e);
        }
    }
}
