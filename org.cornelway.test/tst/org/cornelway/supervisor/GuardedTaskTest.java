package org.cornelway.supervisor;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a periodic task goes on after an exception. */
public class GuardedTaskTest {
    private static final int RUNS = 5;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new IllegalStateException("an error of one run")},
            {new OutOfMemoryError("an error of one run")}
        };
    }

    /** Guards against a scheduler that stops calling a task that has thrown an exception. */
    @Test(dataProvider = "failures")
    public void periodicTaskGoesOnAfterAnException(Throwable failure) {
        TestScheduler time = new TestScheduler();
        MetricRegistry metrics = new MetricRegistry();
        AtomicInteger runs = new AtomicInteger();
        Runnable body =
                () -> {
                    if (runs.incrementAndGet() == 2) {
                        throwUnchecked(failure);
                    }
                };
        time.schedulePeriodicallyDirect(
                new GuardedTask("test", metrics, body), 1, 1, TimeUnit.SECONDS);
        time.advanceTimeBy(RUNS, TimeUnit.SECONDS);
        assertThat(runs.get()).isEqualTo(RUNS);
        assertThat(metrics.counter("supervisor.failures").getCount()).isEqualTo(1);
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }
}
