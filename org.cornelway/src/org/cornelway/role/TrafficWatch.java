package org.cornelway.role;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.GuardedTask;
import org.cornelway.supervisor.Heartbeat;
import org.cornelway.time.Clock;
import org.cornelway.traffic.TrafficPlane;

/**
 * Watches whether the traffic thread goes on checking its calls.
 *
 * <p>It checks on neither the traffic thread nor the control thread, so that it goes on when one of
 * them has stopped. {@link #isGoingOn} and {@link #ended} may be called on any thread, the other
 * methods only by the supervisor.
 */
final class TrafficWatch implements Component {
    private final TrafficPlane mTraffic;
    private final Scheduler mScheduler;
    private final Clock mClock;
    private final EventLog mLog;
    private final MetricRegistry mMetrics;
    private final CompletableSubject mEnded = CompletableSubject.create();
    private volatile Heartbeat.State mState = Heartbeat.State.GOES_ON;
    private Disposable mChecks = Disposable.disposed();

    /**
     * @param scheduler runs the checks, on a thread that nothing blocks
     */
    TrafficWatch(
            TrafficPlane traffic,
            Scheduler scheduler,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {
        mTraffic = traffic;
        mScheduler = scheduler;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    /** Whether the traffic thread has checked its calls recently. */
    boolean isGoingOn() {
        return mState == Heartbeat.State.GOES_ON;
    }

    /** Completes when the traffic thread has stopped for good, so that the process must end. */
    Completable ended() {
        return mEnded;
    }

    @Override
    public String name() {
        return "traffic-watch";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () -> {
                    Heartbeat heartbeat = new Heartbeat(mClock.nowMillis(), sweepCount());
                    mChecks =
                            mScheduler.schedulePeriodicallyDirect(
                                    new GuardedTask(name(), mMetrics, () -> check(heartbeat)),
                                    Heartbeat.CHECK_INTERVAL_MILLIS,
                                    Heartbeat.CHECK_INTERVAL_MILLIS,
                                    TimeUnit.MILLISECONDS);
                });
    }

    private long sweepCount() {
        return mTraffic.frontServer().sweepCount();
    }

    private void check(Heartbeat heartbeat) {
        Heartbeat.State state =
                mTraffic.hasEnded()
                        ? Heartbeat.State.ENDED
                        : heartbeat.check(mClock.nowMillis(), sweepCount());
        if (state == mState) {
            return;
        }
        mState = state;
        String event =
                switch (state) {
                    case GOES_ON -> "traffic.resumed";
                    case STALLED -> "traffic.stalled";
                    case ENDED -> "traffic.ended";
                };
        if (state == Heartbeat.State.ENDED) {
            mEnded.onComplete();
        }
        mLog.write(event, "sweeps", sweepCount());
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(() -> mChecks.dispose());
    }
}
