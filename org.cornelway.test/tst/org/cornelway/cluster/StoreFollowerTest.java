package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.eventlog.EventLog;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.Change;
import org.cornelway.platform.ChangeFeed;
import org.cornelway.platform.ChangePage;
import org.cornelway.relay.DocumentCache;
import org.cornelway.time.Clock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a watch which the key-value service never answers does not hide changes for long. */
public class StoreFollowerTest {
    private static final String PREFIX = "servers/";

    /**
     * Longest time that changes may go unnoticed after a silence of the service that no other call
     * has met: the users' bounds for a stable service and for a drain, 3 s and 2 s.
     */
    private static final long MAX_SILENCE_MILLIS = 5_000;

    /** Longest wait of a watch. */
    private static final long WAIT_MILLIS = 4_000;

    /** Time limit of a request besides its wait. */
    private static final long REQUEST_TIMEOUT_MILLIS = 600;

    private final TestScheduler mTime = new TestScheduler();
    private final Clock mClock = () -> mTime.now(TimeUnit.MILLISECONDS);
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLog mLog = new EventLog(mClock, mMetrics);
    private StoreHealth mHealth;
    private DocumentCache mCache;
    private SilentFeed mFeed;
    private StoreFollower mFollower;

    /** A feed that answers listings, and watches only when the test does. */
    private final class SilentFeed implements ChangeFeed {
        private final List<SingleSubject<ChangePage>> mWatches = new ArrayList<>();
        private ChangePage mListing = new ChangePage(List.of(), 1, true);
        private int mDisposed;

        @Override
        public Single<ChangePage> listAll(String prefix) {
            return Single.just(mListing);
        }

        @Override
        public Single<ChangePage> changes(String prefix, long afterRevision, long waitMillis) {
            SingleSubject<ChangePage> watch = SingleSubject.create();
            mWatches.add(watch);
            return watch.doOnDispose(() -> mDisposed++)
                    .timeout(
                            waitMillis + REQUEST_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS,
                            mTime,
                            Single.error(new IOException("no response")));
        }

        void answerLastWatch(Change change) {
            mWatches.get(mWatches.size() - 1)
                    .onSuccess(new ChangePage(List.of(change), change.revision(), false));
        }
    }

    @BeforeMethod
    public void startFollower() {
        mCache = new DocumentCache(new Invariants(mMetrics, true), mMetrics);
        mFeed = new SilentFeed();
        mHealth =
                new StoreHealth(
                        mClock,
                        mLog,
                        mMetrics,
                        () -> {},
                        () -> {},
                        () -> mFollower.onServiceRecovered());
        mFollower =
                new StoreFollower(
                        new StoreFollower.Keys(PREFIX, WAIT_MILLIS, 0),
                        mFeed,
                        mCache,
                        mHealth,
                        mTime,
                        new Random(1),
                        mLog,
                        mMetrics);
        mFollower.start().blockingAwait();
        advance(10);
        assertThat(mFeed.mWatches).hasSize(1);
    }

    private void advance(long millis) {
        mTime.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    private static Change change(long revision) {
        return new Change(PREFIX + "a", revision, Optional.of(new byte[] {1}));
    }

    @Test
    public void watchThatHungThroughAnOutageIsReplacedAtOnceWhenAnotherCallIsAnswered() {
        mHealth.recordFailure("lease", new IOException("no response"));
        mHealth.recordSuccess();
        assertThat(mFeed.mWatches).hasSize(2);
        assertThat(mFeed.mDisposed).isEqualTo(1);
        mFeed.answerLastWatch(change(2));
        advance(0);
        assertThat(mCache.revision(PREFIX + "a")).isEqualTo(2);
    }

    @Test
    public void watchIsNotReplacedWhileCallsSucceed() {
        mHealth.recordSuccess();
        mHealth.recordSuccess();
        assertThat(mFeed.mWatches).hasSize(1);
    }

    @Test
    public void watchThatTheServiceLostIsRepeatedThoughNoOtherCallFailed() {
        advance(MAX_SILENCE_MILLIS);
        assertThat(mFeed.mWatches.size()).isGreaterThan(1);
        mFeed.answerLastWatch(change(2));
        advance(0);
        assertThat(mCache.revision(PREFIX + "a")).isEqualTo(2);
    }

    @Test
    public void changesAreSeenThoughTheServiceAnswersNoWatch() {
        mFeed.mListing = new ChangePage(List.of(change(2)), 2, true);
        advance(MAX_SILENCE_MILLIS);
        assertThat(mCache.revision(PREFIX + "a")).isEqualTo(2);
    }
}
