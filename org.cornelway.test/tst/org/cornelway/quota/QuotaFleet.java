package org.cornelway.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cornelway.route.Customer;
import org.cornelway.route.TokenQuota;

/**
 * Entries in three availability zones that exchange quotas, in virtual time. Messages are late or
 * lost; links are cut, entries end and start, and controllers change as the test says.
 */
final class QuotaFleet {
    static final long STEP_MILLIS = 5;
    private static final long REPORT_MILLIS = 250;
    private static final long ASK_TIMEOUT_MILLIS = 150;
    private static final long REPORT_TIMEOUT_MILLIS = 900;
    private static final int ZONES = 3;

    final QuotaBounds mBounds = new QuotaBounds(8_000, 0.1, 7_400);
    final Random mRandom;
    final List<Entry> mEntries = new ArrayList<>();
    final Map<String, Arrivals> mArrivals = new HashMap<>();
    final Map<String, Counts> mCounts = new HashMap<>();
    List<Customer> mCustomers;
    long mNowMillis;
    Optional<String> mController = Optional.empty();
    int mMessages;
    int mAsks;

    /** Group of each entry; entries in different groups don't reach one another. */
    final Map<String, Integer> mGroups = new HashMap<>();

    /** Largest delay of a message between usual and late ones. */
    int mLateMillis = 250;

    /** One in so many messages is late. */
    int mLateOneIn = 300;

    /** One in so many messages is lost; 0 for none. */
    int mLostOneIn;

    /** Whether the key-value service has the number of entries from before. */
    boolean mHasStoredNumber;

    private final boolean mNaive;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMillis() != b.atMillis()
                                    ? Long.compare(a.atMillis(), b.atMillis())
                                    : Long.compare(a.number(), b.number()));
    private long mEventCount;

    /** Something that happens at a time. */
    private record Event(long atMillis, long number, Runnable action) {}

    /** Calls of one customer. */
    static final class Counts {
        int mCalls;
        int mServed;
        int mWaited;
        double mServedTokens;

        double servedShare() {
            return (double) mServed / mCalls;
        }
    }

    QuotaFleet(long seed, int entries, List<Customer> customers, boolean naive) {
        mRandom = new Random(seed);
        mCustomers = customers;
        mNaive = naive;
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry("e" + i, i % ZONES));
            mGroups.put("e" + i, 0);
        }
    }

    static Customer customer(String name, double perSecond, double burst) {
        return new Customer(
                name, Set.of(), Optional.empty(), new TokenQuota(perSecond, burst, 1, true));
    }

    Counts counts(String customer) {
        return mCounts.computeIfAbsent(customer, key -> new Counts());
    }

    void after(long millis, Runnable action) {
        mEvents.add(new Event(mNowMillis + millis, mEventCount++, action));
    }

    /** Runs for a time. */
    void run(long millis, Runnable eachStep) {
        long end = mNowMillis + millis;
        while (mNowMillis < end) {
            while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mNowMillis) {
                mEvents.remove().action().run();
            }
            eachStep.run();
            mEntries.forEach(Entry::step);
            mNowMillis += STEP_MILLIS;
        }
    }

    /** Ends an entry and starts it again after a time. */
    void restart(Entry entry, long downMillis) {
        entry.end();
        after(downMillis, entry::start);
    }

    /** Ends the term of the controller; the next one is known to all some time later. */
    void changeController(long gapMillis) {
        after(
                gapMillis,
                () -> {
                    List<Entry> up = mEntries.stream().filter(each -> each.mUp).toList();
                    mController =
                            up.isEmpty()
                                    ? Optional.empty()
                                    : Optional.of(up.get(mRandom.nextInt(up.size())).mId);
                });
    }

    void call(Customer customer, double cost) {
        mEntries.get(mRandom.nextInt(mEntries.size())).call(customer, cost);
    }

    /** Cuts an entry off from those that are not cut off, or joins it to them. */
    void cut(Entry entry, boolean off) {
        mGroups.put(entry.mId, off ? 1 : 0);
    }

    Optional<Entry> find(String id) {
        return mEntries.stream().filter(each -> each.mId.equals(id) && each.mUp).findFirst();
    }

    private long delay() {
        boolean late = mRandom.nextInt(mLateOneIn) == 0;
        return 1 + mRandom.nextInt(late ? mLateMillis : 15);
    }

    private boolean isLost(String from, String to) {
        return !mGroups.get(from).equals(mGroups.get(to))
                || mLostOneIn > 0 && mRandom.nextInt(mLostOneIn) == 0;
    }

    /** Returns the largest ratio of a customer's tokens in a window to those allowed. */
    double worstWindow(Customer customer) {
        return mArrivals
                .getOrDefault(customer.name(), new Arrivals())
                .worstWindow(mBounds.windowMillis(), mBounds.allowed(customer.quota()));
    }

    /** One entry with its ledger. */
    final class Entry {
        final String mId;
        final int mZone;
        boolean mUp;
        private boolean mConfigured;
        private int mLife;
        private EntryCount mCount;
        private QuotaPolicy mPolicy;
        private QuotaGrants mGrants;
        private QuotaQueue mQueue;
        private QuotaLedger mLedger;
        private EntryCount mLedgerCount;
        private QuotaTargets mTargets;
        private boolean mReportInProgress;
        private boolean mAskInProgress;
        private long mNextReportMillis;
        private long mLastReplyMillis;

        private Entry(String id, int zone) {
            mId = id;
            mZone = zone;
        }

        void start() {
            mUp = true;
            mConfigured = false;
            mLife++;
            mCount = new EntryCount(mNowMillis);
            mLedgerCount = new EntryCount(mNowMillis);
            mGrants =
                    new QuotaGrants(
                            mId, mNowMillis, new FallbackQuota(mBounds, mCount), mNowMillis);
            int entries = mEntries.size();
            mPolicy = mNaive ? new FixedShareQuota(() -> entries) : mGrants;
            mQueue = new QuotaQueue(mPolicy);
            mLedger = new QuotaLedger(mRandom.nextLong(), mBounds);
            mTargets = new QuotaTargets(mBounds.windowMillis());
            mReportInProgress = false;
            mAskInProgress = false;
            mNextReportMillis = mNowMillis + mRandom.nextInt((int) REPORT_MILLIS);
        }

        void end() {
            mUp = false;
        }

        /** Runs an action unless this life of the entry has ended. */
        private Runnable inThisLife(Runnable action) {
            int life = mLife;
            return () -> {
                if (mUp && life == mLife) {
                    action.run();
                }
            };
        }

        /** Members register in the key-value service, and entries that are cut off disappear. */
        private List<Entry> members() {
            return mEntries.stream()
                    .filter(each -> each.mUp && mGroups.get(each.mId) == 0)
                    .toList();
        }

        /** The key-value service keeps the number of entries, also of those that are cut off. */
        private void recordEntries(EntryCount count) {
            count.record(members().size(), mNowMillis);
            count.recordStored(mHasStoredNumber ? mEntries.size() : 0, mNowMillis);
        }

        private Optional<String> target() {
            recordEntries(mCount);
            recordEntries(mLedgerCount);
            Set<String> zone = new HashSet<>();
            mEntries.stream()
                    .filter(each -> each.mZone == mZone)
                    .forEach(each -> zone.add(each.mId));
            return mTargets.choose(
                    mController,
                    mEntries.stream().filter(each -> each.mUp).map(each -> each.mId).toList(),
                    zone,
                    mNowMillis);
        }

        private void step() {
            if (!mUp) {
                return;
            }
            mQueue.expire(mNowMillis);
            if (mNaive || mNowMillis < mNextReportMillis) {
                return;
            }
            mNextReportMillis = mNowMillis + REPORT_MILLIS;
            if (!mReportInProgress) {
                mReportInProgress = true;
                send(REPORT_TIMEOUT_MILLIS, () -> mReportInProgress = false);
            } else if (!mAskInProgress) {
                sendAsk();
            }
        }

        private void ask() {
            if (mUp && !mAskInProgress && mQueue.isWaiting()) {
                sendAsk();
            }
        }

        private void sendAsk() {
            mAskInProgress = true;
            mAsks++;
            send(
                    ASK_TIMEOUT_MILLIS,
                    () -> {
                        mAskInProgress = false;
                        after(40, inThisLife(this::ask));
                    });
        }

        private void send(long timeoutMillis, Runnable onEnd) {
            Optional<String> target = target();
            if (target.isEmpty()) {
                onEnd.run();
                return;
            }
            QuotaReport taken = mGrants.takeReport(mQueue.costs(), mNowMillis);
            QuotaReport report = mTargets.mayShare(mNowMillis) ? taken : taken.withoutShare();
            boolean[] ended = new boolean[1];
            long sentMillis = mNowMillis;
            String id = target.get();
            mMessages++;
            after(
                    timeoutMillis,
                    inThisLife(
                            () -> {
                                if (!ended[0]) {
                                    ended[0] = true;
                                    onFailure(id);
                                    onEnd.run();
                                }
                            }));
            if (!id.equals(mId) && isLost(mId, id)) {
                return;
            }
            after(
                    id.equals(mId) ? 0 : delay(),
                    () ->
                            find(id).ifPresent(
                                            to ->
                                                    to.handle(
                                                            report,
                                                            reply ->
                                                                    onReply(
                                                                            id,
                                                                            sentMillis,
                                                                            reply,
                                                                            ended,
                                                                            onEnd))));
        }

        private void onFailure(String id) {
            if (!id.equals(mId) && mNowMillis - mLastReplyMillis > 500) {
                mTargets.recordFailure(id, mNowMillis);
            }
        }

        private void handle(QuotaReport report, java.util.function.Consumer<QuotaReply> answer) {
            recordEntries(mLedgerCount);
            mLedger.configure(mCustomers);
            QuotaReply reply = mLedger.handle(report, mLedgerCount.get(mNowMillis), mNowMillis);
            Entry sender = find(report.entry()).orElse(null);
            if (sender == null || sender != this && isLost(mId, sender.mId)) {
                return;
            }
            after(sender == this ? 0 : delay(), sender.inThisLife(() -> answer.accept(reply)));
        }

        /** Late replies are discarded, as gRPC does after its deadline. */
        private void onReply(
                String id, long sentMillis, QuotaReply reply, boolean[] ended, Runnable onEnd) {
            if (ended[0]) {
                return;
            }
            ended[0] = true;
            mLastReplyMillis = mNowMillis;
            mTargets.recordReply(id);
            mGrants.applyReply(reply, sentMillis, mNowMillis);
            mQueue.retry(mNowMillis);
            onEnd.run();
        }

        void call(Customer customer, double cost) {
            Counts counts = counts(customer.name());
            counts.mCalls++;
            mConfigured |= mGroups.get(mId) == 0;
            if (!mUp || !mConfigured) {
                // The load balancer sends no calls to an entry that is down.
                counts.mCalls--;
                return;
            }
            int life = mLife;
            boolean waits =
                    mQueue.add(
                            customer,
                            cost,
                            new QuotaQueue.Listener() {
                                @Override
                                public void onAdmitted(QuotaHold hold) {
                                    long delay = mRandom.nextInt(20) == 0 ? 380 : 3;
                                    after(
                                            mRandom.nextInt((int) delay),
                                            () -> arrive(customer, cost, hold, life));
                                }

                                @Override
                                public void onRefused(long retryAfterMillis) {}
                            },
                            mNowMillis);
            if (waits) {
                counts.mWaited++;
                ask();
            }
        }

        private void arrive(Customer customer, double cost, QuotaHold hold, int life) {
            if (!mUp || life != mLife || !mPolicy.spend(hold, mNowMillis)) {
                return;
            }
            counts(customer.name()).mServed++;
            counts(customer.name()).mServedTokens += cost;
            // A packet may be late after the check.
            long lateMillis = mRandom.nextInt(100) == 0 ? mRandom.nextInt(200) : 1;
            mArrivals
                    .computeIfAbsent(customer.name(), key -> new Arrivals())
                    .add(mNowMillis + lateMillis, cost);
        }
    }
}
