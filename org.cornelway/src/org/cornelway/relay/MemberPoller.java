package org.cornelway.relay;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.concurrent.TimeUnit;
import org.cornelway.platform.InstanceList;
import org.cornelway.supervisor.Component;
import org.cornelway.supervisor.GuardedTask;

/**
 * Polls the platform's instance list and updates the member table.
 *
 * <p>A poll that fails is counted and leaves the table as it is; the next poll retries. Confined to
 * the control thread.
 */
public final class MemberPoller implements Component {
    private final InstanceList mList;
    private final MemberTable mTable;
    private final Scheduler mControl;
    private final long mPeriodMillis;
    private final MetricRegistry mMetrics;
    private final CompositeDisposable mTasks = new CompositeDisposable();

    /**
     * @param periodMillis time between two polls
     */
    public MemberPoller(
            InstanceList list,
            MemberTable table,
            Scheduler control,
            long periodMillis,
            MetricRegistry metrics) {
        mList = list;
        mTable = table;
        mControl = control;
        mPeriodMillis = periodMillis;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return "member-poller";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () ->
                        mTasks.add(
                                mControl.schedulePeriodicallyDirect(
                                        new GuardedTask("member poller", mMetrics, this::poll),
                                        0,
                                        mPeriodMillis,
                                        TimeUnit.MILLISECONDS)));
    }

    private void poll() {
        mTasks.add(
                mList.instances()
                        .observeOn(mControl)
                        .subscribe(
                                mTable::update,
                                e -> mMetrics.counter("instances.failures").inc(),
                                mTasks));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(mTasks::dispose);
    }
}
