package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelway.directory.DirectorySnapshot;
import org.cornelway.directory.ServerRecord;
import org.cornelway.eventlog.EventLog;
import org.cornelway.route.CallerLimits;
import org.cornelway.route.EngineDefinition;
import org.cornelway.route.ModelDefinition;
import org.cornelway.route.RouteTable;
import org.cornelway.route.RoutingConfiguration;
import org.cornelway.route.ServiceDefinition;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ModelTarget;
import org.cornelway.traffic.ModelUsage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests in virtual time that adapters in use keep their places, whatever the controller knows. */
public class AdapterEvictionTest {
    private static final String SERVICE = "s";
    private static final int PLACES = 2;

    /** Time after which the controller may evict adapters that it knows to be idle. */
    private static final long SETTLED_MILLIS = 2_000;

    private TestScheduler mTime;
    private AdapterEngine mEngine;
    private ModelController mController;
    private List<ModelRequestOutcome> mOutcomes;

    @BeforeMethod
    public void setUp() {
        mTime = new TestScheduler();
        mOutcomes = new ArrayList<>();
        mEngine = new AdapterEngine(mTime, PLACES, "a1", "a2");
        mController =
                new ModelController(
                        mEngine,
                        mTime,
                        new FixedTerm(),
                        new CheapestLoadPlanner(),
                        EngineLimits.NONE,
                        DeferralPolicy.NEVER,
                        new ModelEvents(
                                new EventLog(this::now, new MetricRegistry()),
                                new MetricRegistry()));
        mController.applyRoutes(routes());
        ServerRecord record = SimulatedEngine.record();
        mController.beginTerm(new DirectorySnapshot(Map.of(record.id(), record)));
    }

    private static RouteTable routes() {
        ModelDefinition model = new ModelDefinition(AdapterEngine.MODEL, 100, 600, 60, 60, 4, 1);
        EngineDefinition engines =
                new EngineDefinition(
                        8, 1_000, 200, 0, PLACES, 5, Map.of(AdapterEngine.MODEL, model));
        return new RouteTable(
                new RoutingConfiguration(
                        1,
                        List.of(),
                        Map.of(SERVICE, new ServiceDefinition(SERVICE, 50, Optional.of(engines))),
                        CallerLimits.defaults(),
                        List.of()));
    }

    private long now() {
        return mTime.now(TimeUnit.MILLISECONDS);
    }

    private void runFor(long millis) {
        for (long i = 0; i < millis; i += 10) {
            mController.runRound();
            mTime.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
    }

    private void request(String adapter) {
        mController.submit(
                new ModelRequest(
                        SERVICE,
                        new ModelTarget(AdapterEngine.MODEL, adapter),
                        Deadline.after(now(), 60_000),
                        1,
                        now(),
                        1,
                        Optional.empty(),
                        CallGroup.UNKNOWN),
                mOutcomes::add);
    }

    /** Reports calls to adapters, as an entry does that sent them. */
    private void reportUse(String... adapters) {
        List<ModelUsage.ActiveCalls> calls = new ArrayList<>();
        for (String adapter : adapters) {
            calls.add(
                    new ModelUsage.ActiveCalls(
                            SimulatedEngine.record().id(),
                            new ModelTarget(AdapterEngine.MODEL, adapter),
                            1,
                            1_000));
        }
        mController.demand().recordReport("p1", new ModelUsage.Snapshot(calls, Map.of()), now());
    }

    /** Guards against a load into the place of an adapter whose unload waits for its calls. */
    @Test
    public void adapterIsNotLoadedIntoPlaceThatIsStillInUse() {
        mEngine.use("a1", "a2");
        runFor(SETTLED_MILLIS);
        request("a3");
        runFor(3_000);
        assertThat(mEngine.overcommits()).isZero();
        assertThat(mOutcomes).isEmpty();
        mEngine.endUse("a1");
        mEngine.endUse("a2");
        runFor(1_000);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
        assertThat(mEngine.overcommits()).isZero();
    }

    @Test
    public void adapterThatIsBeingUnloadedIsNotAnnounced() {
        mEngine.use("a1", "a2");
        runFor(SETTLED_MILLIS);
        request("a3");
        runFor(500);
        HeldAdapters adapters =
                mController
                        .holdings()
                        .get(SimulatedEngine.record().incarnation())
                        .get(AdapterEngine.MODEL);
        assertThat(adapters.count()).isEqualTo(PLACES);
        assertThat(adapters.names()).hasSizeLessThan(PLACES);
    }

    /** Guards against evictions at the start of a term, when the calls in progress are unknown. */
    @Test
    public void adaptersInUseAreKeptAtTheStartOfTerm() {
        mEngine.use("a1", "a2");
        runFor(50);
        request("a3");
        runFor(500);
        reportUse("a1", "a2");
        for (int i = 0; i < 10; i++) {
            runFor(300);
            reportUse("a1", "a2");
        }
        assertThat(mController.holdings().values().iterator().next().get("m1").names())
                .containsExactlyInAnyOrder("a1", "a2");
    }

    @Test
    public void idleAdapterIsReplacedAtOnce() {
        runFor(SETTLED_MILLIS);
        request("a3");
        runFor(50);
        assertThat(mOutcomes).singleElement().isInstanceOf(ModelRequestOutcome.Held.class);
        assertThat(mEngine.adapters()).hasSize(PLACES).contains("a3");
    }

    /** Guards against a report for each round while an unload waits for the calls of an adapter. */
    @Test
    public void reportsAreReadSeldomWhileUnloadsWait() {
        mEngine.use("a1", "a2");
        runFor(SETTLED_MILLIS);
        request("a3");
        int before = mEngine.reportReads();
        runFor(3_000);
        assertThat(mEngine.reportReads() - before).isLessThanOrEqualTo(15);
    }

    /**
     * Guards against an engine that gets no order any more after it replied to the unload of an
     * adapter that it did not hold, which it does not count as an order.
     */
    @Test
    public void engineGetsOrdersAfterUnloadOfAbsentAdapter() {
        runFor(SETTLED_MILLIS);
        mEngine.lose("a1");
        mEngine.lose("a2");
        request("a3");
        runFor(5_000);
        request("a4");
        runFor(1_000);
        assertThat(mEngine.adapters()).contains("a3", "a4");
        assertThat(mOutcomes).hasSize(2);
    }
}
