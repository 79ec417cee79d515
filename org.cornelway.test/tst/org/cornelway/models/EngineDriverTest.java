package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineReport;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.SendPermit;
import org.cornelway.platform.ServerOrder;
import org.testng.annotations.Test;

/** Tests the engine driver, including random runs with lost replies and delayed orders. */
public class EngineDriverTest {
    /** Number of models that fit into the memory of an engine. */
    private static final int CAPACITY_MODELS = 2;

    private final TestScheduler mTime = new TestScheduler();

    /**
     * @param hasTerm whether the driver has a term of the controller, under which it sends orders
     */
    private EngineDriver newDriver(EngineControl engine, boolean hasTerm) {
        return new EngineDriver(
                SimulatedEngine.record(),
                CAPACITY_MODELS * SimulatedEngine.MODEL_MEGABYTES,
                engine,
                mTime,
                new EngineListener() {
                    @Override
                    public Optional<EngineListener.Term> term() {
                        return hasTerm
                                ? Optional.of(new EngineListener.Term("self", 7))
                                : Optional.empty();
                    }

                    @Override
                    public void onStateChanged(EngineDriver driver) {}

                    @Override
                    public void onFenced() {}

                    @Override
                    public void onStoreLoadEnded(
                            long expectedMillis,
                            long actualMillis,
                            int loadsAtBegin,
                            int mostLoads) {}

                    @Override
                    public int runningStoreLoads() {
                        return 0;
                    }

                    @Override
                    public void onOrderReply(
                            ServerRecord server, ServerOrder order, OrderReply reply) {}
                });
    }

    /** Advances the time by a number of milliseconds and calls the driver every 10 ms. */
    private void runFor(EngineDriver driver, long millis) {
        for (long i = 0; i < millis; i += 10) {
            driver.advance(mTime.now(TimeUnit.MILLISECONDS));
            mTime.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns an order to load a model, or to unload it if {@code load} is false. */
    private static PlannedOrder order(boolean load, String model) {
        return new PlannedOrder(
                load,
                model,
                Optional.empty(),
                SimulatedEngine.MODEL_MEGABYTES,
                load ? SimulatedEngine.CACHED_LOAD_MILLIS : EngineDriver.UNLOAD_MILLIS,
                WeightSource.DISK);
    }

    @Test
    public void sendsNoOrderBeforeTheFirstReport() {
        // unresponsive() fails the test if an order is sent.
        EngineDriver driver = newDriver(SimulatedEngine.unresponsive(), true);
        driver.enqueue(order(true, "m1"));
        runFor(driver, 2_000);
        assertThat(driver.isStateKnown()).isFalse();
    }

    @Test
    public void sendsNoOrderWithoutTerm() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, CAPACITY_MODELS, "m1");
        EngineDriver driver = newDriver(engine, false);
        runFor(driver, 100);
        driver.enqueue(order(false, "m1"));
        runFor(driver, 500);
        assertThat(engine.models()).containsExactly("m1");
    }

    @Test
    public void unloadsOneModelAndThenLoadsAnother() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, CAPACITY_MODELS, "m1", "m2");
        EngineDriver driver = newDriver(engine, true);
        runFor(driver, 100);
        driver.enqueue(order(false, "m1"));
        driver.enqueue(order(true, "m3"));
        assertThat(driver.isLoading("m3")).isTrue();
        runFor(driver, 300);
        assertThat(engine.models()).containsExactlyInAnyOrder("m2", "m3");
        assertThat(driver.acceptsModelOrders()).isTrue();
    }

    @Test
    public void loadStartsOnceTheCallsToTheUnloadedModelHaveEnded() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, CAPACITY_MODELS, "m1", "m2");
        engine.setDrainMillis(1_000);
        EngineDriver driver = newDriver(engine, true);
        runFor(driver, 100);
        driver.enqueue(order(false, "m1"));
        driver.enqueue(order(true, "m3"));
        runFor(driver, 500);
        assertThat(driver.isLoading("m3")).isTrue();
        assertThat(engine.reportReads())
                .as("number of reports read; each one is a call to the engine and may be outdated")
                .isLessThan(5);
        runFor(driver, 1_000);
        assertThat(engine.models()).contains("m3");
    }

    @Test
    public void cancelledLoadIsNotSent() {
        SimulatedEngine engine = new SimulatedEngine(mTime, 1, 0, CAPACITY_MODELS, "m1", "m2");
        engine.setDrainMillis(1_000);
        EngineDriver driver = newDriver(engine, true);
        runFor(driver, 100);
        driver.enqueue(order(false, "m1"));
        driver.enqueue(order(true, "m3"));
        runFor(driver, 200);
        assertThat(driver.orderQueue().cancelQueuedLoad("m3")).isTrue();
        runFor(driver, 2_000);
        assertThat(engine.models()).containsExactly("m2");
        assertThat(driver.acceptsModelOrders()).isTrue();
    }

    @Test
    public void lostAndLateOrdersNeverOvercommitMemory() {
        for (long seed = 0; seed < 150; seed++) {
            // 35 % of the orders get no reply; half of these are executed late, the others never.
            SimulatedEngine engine =
                    new SimulatedEngine(mTime, seed, 0.35, CAPACITY_MODELS, "m1", "m2");
            EngineDriver driver = newDriver(engine, true);
            orderRandomLoads(driver, seed);
            assertThat(engine.overcommits()).as("seed " + seed).isZero();
            runFor(driver, 20_000);
            assertThat(driver.acceptsModelOrders()).as("seed " + seed).isTrue();
            assertThat(driver.models().keySet()).as("seed " + seed).isEqualTo(engine.models());
        }
    }

    @Test
    public void copiesOfEarlierRepliesNeverOvercommitMemory() {
        for (long seed = 0; seed < 150; seed++) {
            SimulatedEngine engine =
                    new SimulatedEngine(mTime, seed, 0, CAPACITY_MODELS, "m1", "m2");
            // Orders that follow an unload at once conflict with it.
            engine.setDrainMillis(150);
            RepeatedReplies replies = new RepeatedReplies(engine, seed);
            EngineDriver driver = newDriver(replies, true);
            orderRandomLoads(driver, seed);
            assertThat(engine.overcommits()).as("seed " + seed).isZero();
            replies.stop();
            // A wrong view may last until the next order; its conflict requires a report.
            orderRandomLoads(driver, seed);
            runFor(driver, 20_000);
            assertThat(driver.acceptsModelOrders()).as("seed " + seed).isTrue();
            assertThat(driver.models().keySet()).as("seed " + seed).isEqualTo(engine.models());
        }
    }

    /** Orders random loads for some seconds. */
    private void orderRandomLoads(EngineDriver driver, long seed) {
        Random random = new Random(seed);
        for (int round = 0; round < 25; round++) {
            runFor(driver, 100 + random.nextInt(300));
            if (driver.acceptsModelOrders()) {
                orderRandomLoad(driver, random);
            }
        }
    }

    /**
     * Orders the load of a random model unless it is loaded, and the unload of another one first if
     * there is no room, as the planner does.
     */
    private static void orderRandomLoad(EngineDriver driver, Random random) {
        String requested = "m" + (1 + random.nextInt(4));
        if (driver.models().containsKey(requested)) {
            return;
        }
        if (driver.models().size() >= CAPACITY_MODELS) {
            driver.enqueue(order(false, driver.models().keySet().iterator().next()));
        }
        driver.enqueue(order(true, requested));
    }

    /** Replaces some replies of an engine by the reply to the previous request of the same kind. */
    private static final class RepeatedReplies implements EngineControl {
        private static final double SHARE = 0.2;

        private final EngineControl mEngine;
        private final Random mRandom;
        private boolean mStopped;
        private Optional<EngineReport> mLastReport = Optional.empty();
        private Optional<OrderReply> mLastReply = Optional.empty();

        RepeatedReplies(EngineControl engine, long seed) {
            mEngine = engine;
            mRandom = new Random(seed);
        }

        void stop() {
            mStopped = true;
        }

        private boolean repeats() {
            return !mStopped && mRandom.nextDouble() < SHARE;
        }

        @Override
        public Single<EngineReport> report(ServerRecord server) {
            return mEngine.report(server)
                    .map(
                            report -> {
                                Optional<EngineReport> last = mLastReport;
                                mLastReport = Optional.of(report);
                                return repeats() ? last.orElse(report) : report;
                            });
        }

        @Override
        public Single<OrderReply> order(ServerRecord server, ServerOrder order, SendPermit permit) {
            return mEngine.order(server, order, permit)
                    .map(
                            reply -> {
                                Optional<OrderReply> last = mLastReply;
                                mLastReply = Optional.of(reply);
                                return repeats() ? last.orElse(reply) : reply;
                            });
        }
    }
}
