package org.cornelway.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.time.Deadline;

/**
 * The calls that this entry has sent and that have not begun, by service and engine priority.
 *
 * <p>Servers report how many calls wait in them but not of which priorities. The own calls are a
 * sample of those of all entries, from which follows how many of the others a call overtakes.
 * Confined to the thread of its owner.
 */
public final class SentCalls {
    /** Weight of the newest call in the means of a service. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Growth per call of the shortest time until a call begins, so that it follows a change. */
    private static final double FIRST_GROWTH = 1.001;

    /** Means of a service until a call has been measured. */
    private static final double DEFAULT_MILLIS = 100;

    private static final double DEFAULT_TOKENS = 1_000;

    /** Number of waiting calls from which their mean wait is meaningful. */
    private static final int MIN_SAMPLE = 4;

    /** Time over which arrivals count for the priorities that are usual. */
    private static final double ARRIVALS_MILLIS = 5_000;

    private final Map<String, Service> mServices = new HashMap<>();

    /** The calls to one service. */
    static final class Service {
        private final int[] mWaiting = new int[EnginePriority.LOWEST + 1];

        /** Sums of the times at which the waiting calls were sent, by priority. */
        private final long[] mSentMillis = new long[EnginePriority.LOWEST + 1];

        private final List<DecayingSum> mArrivals = new ArrayList<>();
        private final DecayingSum mRefused = new DecayingSum(1_000);
        private double mCallMillis = DEFAULT_MILLIS;
        private final Map<Integer, Double> mObjectiveMillis = new HashMap<>();
        private double mFirstMillis;
        private double mTokens = DEFAULT_TOKENS;

        private Service() {
            for (int i = 0; i <= EnginePriority.LOWEST; i++) {
                mArrivals.add(new DecayingSum(ARRIVALS_MILLIS));
            }
        }

        /** Mean time that a server works on a call. */
        double callMillis() {
            return mCallMillis;
        }

        /** Time from the start of a call to its first event or its response, without a wait. */
        long firstMillis() {
            return (long) mFirstMillis;
        }

        /**
         * Follows the shortest times, which are those of calls that did not wait; a server that was
         * believed to have room may have had none.
         */
        private void recordFirst(double millis) {
            mFirstMillis =
                    mFirstMillis == 0 ? millis : Math.min(millis, FIRST_GROWTH * mFirstMillis);
        }

        /** Mean objective of the calls of a priority. */
        double objectiveMillis(int priority) {
            return mObjectiveMillis.getOrDefault(priority, Double.MAX_VALUE);
        }

        /** Mean work of a call, in tokens. */
        double tokens() {
            return mTokens;
        }

        /** Number of calls that were refused within about a second. */
        double refused(long nowMillis) {
            return mRefused.get(nowMillis);
        }

        void recordRefused(long nowMillis) {
            mRefused.add(1, nowMillis);
        }

        private void addWaiting(int enginePriority, long sentMillis) {
            mWaiting[enginePriority]++;
            mSentMillis[enginePriority] += sentMillis;
        }

        private void removeWaiting(int enginePriority, long sentMillis) {
            mWaiting[enginePriority]--;
            mSentMillis[enginePriority] -= sentMillis;
        }

        /**
         * Returns the mean time for which the waiting calls have waited, by priority; 0 if there
         * are few of them or none that overtake them.
         */
        List<Long> waitedMillis(long nowMillis) {
            List<Long> waited = new ArrayList<>();
            double overtaking = 0;
            for (int i = 0; i <= EnginePriority.LOWEST; i++) {
                boolean isSample = mWaiting[i] >= MIN_SAMPLE && overtaking >= MIN_SAMPLE;
                overtaking += mArrivals.get(i).get(nowMillis);
                waited.add(isSample ? nowMillis - mSentMillis[i] / mWaiting[i] : 0);
            }
            return waited;
        }

        void recordArrival(PendingCall call, long nowMillis) {
            mArrivals.get(EnginePriority.of(call.priority())).add(1, nowMillis);
            mTokens += NEWEST_WEIGHT * (call.tokens() - mTokens);
            mObjectiveMillis.merge(
                    call.priority(),
                    (double) call.objectiveMillis(),
                    (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
        }

        /** Returns the share of the waiting calls that are not less urgent, by priority. */
        List<Double> aheadShares(long nowMillis) {
            double arrivals = 0;
            int waiting = 0;
            for (int i = 0; i <= EnginePriority.LOWEST; i++) {
                arrivals += mArrivals.get(i).get(nowMillis);
                waiting += mWaiting[i];
            }
            List<Double> shares = new ArrayList<>();
            double arrivalsAhead = 0;
            int waitingAhead = 0;
            for (int i = 0; i <= EnginePriority.LOWEST; i++) {
                arrivalsAhead += mArrivals.get(i).get(nowMillis);
                waitingAhead += mWaiting[i];
                // The arrivals count as one call that waits, for when few calls do.
                double usual = arrivals <= 0 ? 1 : Math.min(1, arrivalsAhead / arrivals);
                shares.add((waitingAhead + usual) / (waiting + 1));
            }
            return shares;
        }
    }

    Service service(String name) {
        return mServices.computeIfAbsent(name, missing -> new Service());
    }

    /** Records that a call is sent. */
    SentCall send(PendingCall call, int enginePriority, boolean hadRoom, long nowMillis) {
        Service service = service(call.service());
        service.addWaiting(enginePriority, nowMillis);
        return new SentCall(service, call, enginePriority, hadRoom, nowMillis);
    }

    /** One send of a call. Confined to the thread of its owner. */
    public static final class SentCall {
        private final Service mService;
        private final PendingCall mCall;
        private final int mEnginePriority;
        private final boolean mHadRoom;
        private final long mSentMillis;
        private boolean mBegun;

        private SentCall(
                Service service,
                PendingCall call,
                int enginePriority,
                boolean hadRoom,
                long sentMillis) {
            mService = service;
            mCall = call;
            mEnginePriority = enginePriority;
            mHadRoom = hadRoom;
            mSentMillis = sentMillis;
        }

        /**
         * Records that the server has begun to answer.
         *
         * @return whether this was not recorded before
         */
        boolean begin(long nowMillis) {
            if (mBegun) {
                return false;
            }
            mBegun = true;
            mService.removeWaiting(mEnginePriority, mSentMillis);
            if (mHadRoom) {
                mService.recordFirst(nowMillis - mSentMillis);
            }
            return true;
        }

        /**
         * Records the end of the send.
         *
         * @return whether it ended after its objective without having begun
         */
        boolean end(long nowMillis) {
            if (mBegun) {
                if (mHadRoom) {
                    double millis = nowMillis - mSentMillis;
                    mService.mCallMillis += NEWEST_WEIGHT * (millis - mService.mCallMillis);
                }
                return false;
            }
            mBegun = true;
            mService.removeWaiting(mEnginePriority, mSentMillis);
            Deadline objective = mCall.objective();
            return objective.isPast(nowMillis);
        }

        PendingCall call() {
            return mCall;
        }
    }
}
