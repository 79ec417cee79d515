package org.cornelway.role;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.Optional;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.dispatch.SlidingWindowRetryBudget;
import org.cornelway.eventlog.EventLog;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.wire.WireCallCodec;
import org.cornelway.time.Clock;
import org.cornelway.traffic.TrafficPlane;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what is said of a traffic thread whose check of the deadlines fails each time. */
public class TrafficWatchTest {
    private final Clock mClock = Clock.system();
    private FailingRegistry mMetrics;
    private TrafficPlane mTraffic;
    private TrafficWatch mWatch;

    /** Metrics of which the one that each check updates can be made to fail. */
    private static final class FailingRegistry extends MetricRegistry {
        private volatile Optional<Throwable> mFailure = Optional.empty();

        @Override
        public Histogram histogram(String name) {
            if (name.equals("traffic.delay_millis") && mFailure.isPresent()) {
                if (mFailure.get() instanceof Error error) {
                    throw error;
                }
                throw (RuntimeException) mFailure.get();
            }
            return super.histogram(name);
        }
    }

    @BeforeMethod
    public void startTraffic() throws IOException {
        HttpEndpoint endpoint;
        try (ServerSocket free = new ServerSocket(0)) {
            endpoint = new HttpEndpoint("127.0.0.1", free.getLocalPort());
        }
        mMetrics = new FailingRegistry();
        EventLog log = new EventLog(mClock, mMetrics);
        mTraffic =
                new TrafficPlane(
                        new WireCallCodec(),
                        mClock,
                        "z",
                        endpoint,
                        endpoint,
                        new SlidingWindowRetryBudget(mClock, 1_000, 0, 0),
                        (request, tooLate) -> {},
                        log,
                        mMetrics);
        mTraffic.frontServer().start().blockingAwait();
        mWatch = new TrafficWatch(mTraffic, Schedulers.single(), mClock, log, mMetrics);
        mWatch.start().blockingAwait();
    }

    @AfterMethod(alwaysRun = true)
    public void stopTraffic() {
        mWatch.stop().blockingAwait();
        mTraffic.frontServer().stop().blockingAwait();
        mTraffic.shutdown();
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new IllegalStateException("each time")}, {new OutOfMemoryError("each time")}
        };
    }

    /** Guards against a process that counts as ready while it ends no call at its deadline. */
    @Test(dataProvider = "failures")
    public void checkThatFailsEachTimeIsToldUntilItSucceedsAgain(Throwable failure) {
        assertThat(mWatch.isGoingOn()).isTrue();
        mMetrics.mFailure = Optional.of(failure);
        ProcessFleet.await("a failing check that is told", () -> !mWatch.isGoingOn());
        mMetrics.mFailure = Optional.empty();
        ProcessFleet.await("a check that succeeds again", mWatch::isGoingOn);
    }
}
