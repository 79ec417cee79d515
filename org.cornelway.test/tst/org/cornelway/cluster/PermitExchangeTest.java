package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/**
 * Plays entries that exchange limits and permits with a controller, in virtual time: reports and
 * replies are late or lost, entries freeze, the controller changes, and entries learn late of it.
 */
public class PermitExchangeTest {
    private static final ServerIncarnation SERVER = new ServerIncarnation("s", 1);
    private static final long DAY_MILLIS = 90_000;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_MILLIS = 250;
    private static final long PERMIT_MILLIS = 1_000;
    private static final long WINDOW_MILLIS = 4_000;

    /** Time from the first answer with a limit until the limit holds. */
    private static final long STABLE_MILLIS = 3_000;

    private static final int SEEDS = 40;

    /** Something that happens at a time. */
    private record Event(long atMillis, Runnable action) {}

    /** A day with one seed. */
    private static final class Day {
        private final Random mRandom;
        private final double mLimit;
        private final double mCallsPerSecond;
        private final List<Entry> mEntries = new ArrayList<>();
        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        private final List<Long> mArrivals = new ArrayList<>();
        private long mNowMillis;
        private int mController;
        private LimitDistributor mDistributor = new LimitDistributor();

        Day(long seed) {
            mRandom = new Random(seed);
            mLimit = 0.2 + mRandom.nextInt(100) / (1 + mRandom.nextInt(20));
            mCallsPerSecond = 1 + mRandom.nextInt(100);
            int count = 2 + mRandom.nextInt(40);
            for (int i = 0; i < count; i++) {
                mEntries.add(new Entry(i));
            }
        }

        private void after(long millis, Runnable action) {
            mEvents.add(new Event(mNowMillis + millis, action));
        }

        /** Delivers a message late or never. */
        private void deliver(Runnable action) {
            if (mRandom.nextInt(50) > 0) {
                after(1 + mRandom.nextInt(mRandom.nextInt(10) == 0 ? 1_500 : 20), action);
            }
        }

        void play() {
            while (mNowMillis < DAY_MILLIS) {
                while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mNowMillis) {
                    mEvents.remove().action().run();
                }
                boolean quiet = mNowMillis / 15_000 % 3 == 2;
                if (!quiet && mRandom.nextDouble() < mCallsPerSecond * STEP_MILLIS / 1_000) {
                    // Some entries have most of the calls.
                    int bound = 1 + mRandom.nextInt(mEntries.size());
                    mEntries.get(mRandom.nextInt(bound)).call();
                }
                mEntries.forEach(Entry::step);
                disturb();
                mNowMillis += STEP_MILLIS;
            }
        }

        private void disturb() {
            if (mRandom.nextInt(1_500) == 0) {
                Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
                entry.mFrozenUntilMillis = mNowMillis + mRandom.nextInt(4_000);
            }
            if (mRandom.nextInt(1_500) == 0) {
                // The next controller begins up to three seconds later, without permits.
                mController = -1;
                after(mRandom.nextInt(3_000), this::elect);
            }
        }

        private void elect() {
            mController = mRandom.nextInt(mEntries.size());
            mDistributor = new LimitDistributor();
            int elected = mController;
            for (Entry entry : mEntries) {
                after(mRandom.nextInt(1_000), () -> entry.mKnownController = elected);
            }
        }

        private final class Entry {
            private final int mIndex;
            private final ServerLimits mLimits = new ServerLimits();
            private final FallbackPermits mFallback;
            private long mFrozenUntilMillis;
            private long mNextReportMillis;
            private int mKnownController;

            Entry(int index) {
                mIndex = index;
                mNextReportMillis = mRandom.nextInt((int) REPORT_MILLIS);
                mFallback =
                        new FallbackPermits("e" + index, () -> mIndex < FallbackPermits.SHARERS, 0);
            }

            private boolean isFrozen() {
                return mNowMillis < mFrozenUntilMillis;
            }

            /** Runs an action now, or after a freeze. */
            private void whenAwake(Runnable action) {
                if (isFrozen()) {
                    after(mFrozenUntilMillis - mNowMillis, action);
                } else {
                    action.run();
                }
            }

            void call() {
                if (isFrozen()) {
                    return;
                }
                if (!mLimits.allows(SERVER, mNowMillis)) {
                    mLimits.recordWanted(SERVER);
                    return;
                }
                mLimits.takePermit(SERVER, mNowMillis);
                long sent = mNowMillis;
                mArrivals.add(sent);
                after(5 + mRandom.nextInt(500), () -> whenAwake(() -> answer(sent)));
            }

            private void answer(long sentMillis) {
                mLimits.record(
                        new LimitObservation(
                                SERVER, OptionalDouble.of(mLimit), sentMillis, mNowMillis));
            }

            void step() {
                if (isFrozen() || mNowMillis < mNextReportMillis) {
                    return;
                }
                mNextReportMillis = mNowMillis + REPORT_MILLIS;
                ServerLimits.Report report = mLimits.takeReport(mNowMillis);
                apply(mFallback.deal(report, mNowMillis), report);
                int controller = mKnownController;
                deliver(() -> handle(report, controller));
            }

            /** Handles the report at the controller, unless another process is the controller. */
            private void handle(ServerLimits.Report report, int controller) {
                if (controller != mController || mEntries.get(controller).isFrozen()) {
                    return;
                }
                long sentMillis = report.takenMillis();
                mDistributor.merge(
                        LimitMessages.fromMessages(
                                LimitMessages.toMessages(report.limits(), sentMillis), mNowMillis));
                Map<ServerIncarnation, Integer> permits =
                        mDistributor.deal("e" + mIndex, report.wanted(), 1, mNowMillis);
                List<LimitObservation> limits =
                        LimitMessages.fromMessages(
                                LimitMessages.toMessages(mDistributor.limits(), mNowMillis),
                                sentMillis);
                deliver(() -> whenAwake(() -> onReply(limits, permits, report)));
            }

            private void onReply(
                    List<LimitObservation> limits,
                    Map<ServerIncarnation, Integer> permits,
                    ServerLimits.Report report) {
                mFallback.recordReply(mNowMillis);
                limits.forEach(mLimits::record);
                apply(permits, report);
            }

            private void apply(
                    Map<ServerIncarnation, Integer> permits, ServerLimits.Report report) {
                Deadline until = Deadline.after(report.takenMillis(), PERMIT_MILLIS);
                permits.forEach((server, count) -> mLimits.addPermits(server, count, until));
            }
        }
    }

    @Test
    public void sumOfAllEntriesStaysBelowTheLimitWhateverFails() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Day day = new Day(seed);
            day.play();
            List<Long> arrivals =
                    day.mArrivals.stream()
                            .filter(at -> at >= day.mArrivals.get(0) + STABLE_MILLIS)
                            .toList();
            double allowed = 1.5 * day.mLimit * WINDOW_MILLIS / 1_000 + 5;
            for (long from : arrivals) {
                long within =
                        arrivals.stream()
                                .filter(at -> at >= from && at < from + WINDOW_MILLIS)
                                .count();
                assertThat((double) within)
                        .as("seed %d, limit %s, at %d ms", seed, day.mLimit, from)
                        .isLessThanOrEqualTo(allowed);
            }
        }
    }

    /** Guards against a bound that is kept by sending nothing. */
    @Test
    public void halfOfTheRateIsUsedOverManyDays() {
        double used = 0;
        double offered = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Day day = new Day(seed);
            day.play();
            used += day.mArrivals.size();
            // Callers come in two thirds of the day.
            double seconds = DAY_MILLIS / 1_000.0 * 2 / 3;
            offered += Math.min(day.mLimit, day.mCallsPerSecond) * seconds;
        }
        assertThat(used / offered).isGreaterThan(0.5);
    }
}
