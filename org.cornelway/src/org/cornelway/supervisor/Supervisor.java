package org.cornelway.supervisor;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.time.Deadline;

/**
 * Starts components in order, retries those that fail to start, and drains and stops them in
 * reverse order.
 *
 * <p>A supervisor is a component itself, so supervisors form a tree. Failures are logged and
 * counted. If a component fails to start in all attempts, the start of the supervisor fails; a
 * failed task, drain or stop does not affect other components. Only the components whose start was
 * attempted are drained and stopped. Used by one thread at a time, except {@link #requestStop} and
 * {@link #isStopRequested}, which are thread-safe.
 */
public final class Supervisor implements Component {
    private static final Logger LOG = LogManager.getLogger(Supervisor.class);
    private static final int START_ATTEMPTS = 5;

    /** Delay before the second attempt to start a component; doubled before each further one. */
    private static final long FIRST_BACKOFF_MILLIS = 200;

    /** Time limit of each attempt to start a component. */
    private static final long START_TIMEOUT_MILLIS = 30_000;

    /** Time limit of the stop of each component. */
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    private final String mName;
    private final MetricRegistry mMetrics;
    private final List<Component> mComponents = new ArrayList<>();

    /** Components whose start was attempted, in this order. */
    private final List<Component> mAttempted = new CopyOnWriteArrayList<>();

    private volatile boolean mStopRequested;
    private final CompositeDisposable mTasks = new CompositeDisposable();

    /**
     * @param name name in logs and metrics
     */
    public Supervisor(String name, MetricRegistry metrics) {
        mName = name;
        mMetrics = metrics;
    }

    /** Adds a component; it starts after those added earlier. */
    public Supervisor add(Component component) {
        mComponents.add(component);
        return this;
    }

    /** Runs a task periodically on a scheduler. An exception ends only the run that threw it. */
    public void schedulePeriodically(
            String task, long periodMillis, Scheduler scheduler, Runnable body) {
        mTasks.add(
                scheduler.schedulePeriodicallyDirect(
                        new GuardedTask(task + " of " + mName, mMetrics, body),
                        periodMillis,
                        periodMillis,
                        TimeUnit.MILLISECONDS));
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public Completable start() {
        return Completable.concat(mComponents.stream().map(this::start).toList());
    }

    private Completable start(Component component) {
        return Completable.defer(() -> attemptStart(component))
                .retryWhen(this::backoff)
                .doOnComplete(() -> LOG.debug("{} started", component.name()));
    }

    private Completable attemptStart(Component component) {
        if (mStopRequested) {
            return Completable.error(new CancellationException("a stop was requested"));
        }
        if (!mAttempted.contains(component)) {
            mAttempted.add(component);
        }
        return Completable.defer(component::start)
                .timeout(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .doOnError(e -> recordFailure(component, "start", e));
    }

    /**
     * Emits an item when the next attempt is due, and an error after {@link #START_ATTEMPTS}
     * failures or if a stop was requested.
     */
    private Flowable<Long> backoff(Flowable<Throwable> failures) {
        return failures.zipWith(
                        Flowable.range(1, START_ATTEMPTS),
                        (failure, attempt) -> {
                            if (attempt == START_ATTEMPTS || mStopRequested) {
                                throw new IllegalStateException(failure);
                            }
                            return FIRST_BACKOFF_MILLIS << (attempt - 1);
                        })
                .flatMap(millis -> Flowable.timer(millis, TimeUnit.MILLISECONDS));
    }

    @Override
    public void requestStop() {
        mStopRequested = true;
        mComponents.forEach(Component::requestStop);
    }

    /** Whether a stop was requested; it is never undone. */
    public boolean isStopRequested() {
        return mStopRequested;
    }

    @Override
    public Completable drain(Deadline deadline) {
        return forEachInReverse("drain", component -> component.drain(deadline));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(mTasks::dispose)
                .andThen(
                        forEachInReverse(
                                "stop",
                                component ->
                                        component
                                                .stop()
                                                .timeout(
                                                        STOP_TIMEOUT_MILLIS,
                                                        TimeUnit.MILLISECONDS)));
    }

    /** Drains or stops one component. */
    private interface Operation {
        Completable apply(Component component);
    }

    /**
     * Applies an operation to one component after the other, the one started last first. A failure
     * is logged and counted, and the next component follows.
     *
     * @param name name of the operation in the log
     */
    private Completable forEachInReverse(String name, Operation operation) {
        List<Component> reversed = new ArrayList<>(mAttempted);
        Collections.reverse(reversed);
        return Completable.concat(
                reversed.stream()
                        .map(
                                component ->
                                        Completable.defer(() -> operation.apply(component))
                                                .doOnError(e -> recordFailure(component, name, e))
                                                .onErrorComplete())
                        .toList());
    }

    private void recordFailure(Component component, String operation, Throwable e) {
        mMetrics.counter("supervisor.failures").inc();
        LOG.error("{} of {} failed", operation, component.name(), e);
    }
}
