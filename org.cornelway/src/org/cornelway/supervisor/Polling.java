package org.cornelway.supervisor;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits for conditions that are not signalled, by evaluating them periodically. Stateless and
 * thread-safe.
 */
public final class Polling {
    private static final long PERIOD_MILLIS = 50;

    private Polling() {}

    /** Completes once a condition holds; evaluates it every 50 ms on the scheduler. */
    public static Completable until(Scheduler scheduler, BooleanSupplier condition) {
        return Flowable.interval(0, PERIOD_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                .takeWhile(tick -> !condition.getAsBoolean())
                .ignoreElements();
    }
}
