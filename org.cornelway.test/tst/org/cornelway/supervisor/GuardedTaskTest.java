package org.cornelway.supervisor;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests that a periodic task goes on after an exception. */
public class GuardedTaskTest {
    private static final int RUNS = 5;

    /** Guards against a scheduler that stops calling a task that has thrown an exception. */
    @Test
    public void periodicTaskGoesOnAfterAnException() {
        TestScheduler time = new TestScheduler();
        MetricRegistry metrics = new MetricRegistry();
        AtomicInteger runs = new AtomicInteger();
        Runnable body =
                () -> {
                    if (runs.incrementAndGet() == 2) {
                        throw new IllegalStateException("an error of one run");
                    }
                };
        time.schedulePeriodicallyDirect(
                new GuardedTask("test", metrics, body), 1, 1, TimeUnit.SECONDS);
        time.advanceTimeBy(RUNS, TimeUnit.SECONDS);
        assertThat(runs.get()).isEqualTo(RUNS);
        assertThat(metrics.counter("supervisor.failures").getCount()).isEqualTo(1);
    }
}
