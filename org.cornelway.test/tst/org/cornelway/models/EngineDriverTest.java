package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;
import org.testng.annotations.Test;

/** Orders whose answers are lost and which are carried out late, in random runs. */
public class EngineDriverTest {
    private static final int PLACES = 2;

    private final TestScheduler mTime = new TestScheduler();

    private EngineDriver driver(EngineControl engine, boolean mayOrder) {
        return new EngineDriver(
                SimulatedEngine.record(),
                PLACES * SimulatedEngine.MODEL_MEGABYTES,
                engine,
                mTime,
                new EngineListener() {
                    @Override
                    public Optional<EngineListener.Term> term() {
                        return mayOrder
                                ? Optional.of(new EngineListener.Term("self", 7))
                                : Optional.empty();
                    }

                    @Override
                    public void onStateChanged(EngineDriver changed) {}

                    @Override
                    public void onFenced() {}

                    @Override
                    public void onOrderReply(
                            ServerRecord server, ServerOrder order, OrderReply reply) {}
                });
    }

    private void pass(EngineDriver driver, long millis) {
        for (long i = 0; i < millis; i += 10) {
            driver.advance(mTime.now(TimeUnit.MILLISECONDS));
            mTime.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
    }

    private static PlannedOrder step(boolean load, String model) {
        return new PlannedOrder(
                load,
                model,
                Optional.empty(),
                SimulatedEngine.MODEL_MEGABYTES,
                load ? SimulatedEngine.LOAD_MILLIS : EngineDriver.UNLOAD_MILLIS,
                WeightSource.DISK);
    }

    @Test
    public void ordersNothingBeforeTheFirstReport() {
        EngineDriver driver = driver(SimulatedEngine.silent(), true);
        driver.enqueue(step(true, "m1"));
        pass(driver, 2_000);
        assertThat(driver.isKnown()).isFalse();
    }

    @Test
    public void ordersNothingWithoutTerm() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, PLACES, "m1");
        EngineDriver driver = driver(engine, false);
        pass(driver, 100);
        driver.enqueue(step(false, "m1"));
        pass(driver, 500);
        assertThat(engine.models()).containsExactly("m1");
    }

    @Test
    public void swapsModels() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, PLACES, "m1", "m2");
        EngineDriver driver = driver(engine, true);
        pass(driver, 100);
        driver.enqueue(step(false, "m1"));
        driver.enqueue(step(true, "m3"));
        assertThat(driver.isLoading("m3")).isTrue();
        pass(driver, 300);
        assertThat(engine.models()).containsExactlyInAnyOrder("m2", "m3");
        assertThat(driver.isIdle()).isTrue();
    }

    @Test
    public void loadFollowsAsSoonAsTheCallsOfAnUnloadHaveEnded() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, PLACES, "m1", "m2");
        engine.drainFor(1_000);
        EngineDriver driver = driver(engine, true);
        pass(driver, 100);
        driver.enqueue(step(false, "m1"));
        driver.enqueue(step(true, "m3"));
        pass(driver, 500);
        assertThat(driver.isLoading("m3")).isTrue();
        assertThat(engine.reports()).as("reports lag and are charged for").isLessThan(5);
        pass(driver, 1_000);
        assertThat(engine.models()).contains("m3");
    }

    @Test
    public void loadThatGoesElsewhereLeavesThePlaceFree() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, PLACES, "m1", "m2");
        engine.drainFor(1_000);
        EngineDriver driver = driver(engine, true);
        pass(driver, 100);
        driver.enqueue(step(false, "m1"));
        driver.enqueue(step(true, "m3"));
        pass(driver, 200);
        assertThat(driver.orderQueue().cancelQueuedLoad("m3")).isTrue();
        pass(driver, 2_000);
        assertThat(engine.models()).containsExactly("m2");
        assertThat(driver.isIdle()).isTrue();
    }

    @Test
    public void lostAndLateOrdersNeverOvercommitMemory() {
        for (long seed = 0; seed < 150; seed++) {
            SimulatedEngine engine = new SimulatedEngine(mTime, seed, 0.35, PLACES, "m1", "m2");
            EngineDriver driver = driver(engine, true);
            Random random = new Random(seed);
            for (int round = 0; round < 25; round++) {
                pass(driver, 100 + random.nextInt(300));
                if (driver.isIdle()) {
                    swap(driver, random);
                }
            }
            assertThat(engine.overcommits()).as("seed " + seed).isZero();
            pass(driver, 20_000);
            assertThat(driver.isIdle()).as("seed " + seed).isTrue();
            assertThat(driver.models().keySet()).as("seed " + seed).isEqualTo(engine.models());
        }
    }

    /** Loads a model that is not held, after making room where needed, as the planner does. */
    private static void swap(EngineDriver driver, Random random) {
        String wanted = "m" + (1 + random.nextInt(4));
        if (driver.models().containsKey(wanted)) {
            return;
        }
        if (driver.models().size() >= PLACES) {
            driver.enqueue(step(false, driver.models().keySet().iterator().next()));
        }
        driver.enqueue(step(true, wanted));
    }
}
