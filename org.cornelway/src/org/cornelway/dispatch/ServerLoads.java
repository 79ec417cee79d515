package org.cornelway.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ReportedLoad;

/**
 * Load and failures of each backend server, as seen from the calls of this process.
 *
 * <p>State is kept by incarnation, so a restarted server starts without load and failures. Confined
 * to the traffic thread.
 */
public final class ServerLoads {
    /** Age above which a reported load is ignored, because it may have changed since. */
    private static final long MAX_LOAD_AGE_MILLIS = 400;

    /**
     * Time for which a server is suspect after its first failure. It doubles with each further
     * failure in a row, up to {@link #MAX_SUSPICION_MILLIS}.
     */
    private static final long MIN_SUSPICION_MILLIS = 300;

    /** Longest time for which a server is suspect after a failure. */
    private static final long MAX_SUSPICION_MILLIS = 2_400;

    /** Silence after which a server that is streaming to this process is suspect. */
    private static final long STREAM_SILENCE_MILLIS = 700;

    /** Weight of the newest call in a server's error rate. */
    private static final double NEWEST_CALL_WEIGHT = 0.12;

    private static final double PERCENT = 100;

    /** Age above which the controller's counts of active calls are ignored. */
    private static final long MAX_BUSY_AGE_MILLIS = 1_000;

    /** Assumed time that a running stream takes until one has been measured. */
    private static final double DEFAULT_STREAM_MILLIS = 1_000;

    /** Weight of the newest stream in the mean time that a running stream takes. */
    private static final double NEWEST_STREAM_WEIGHT = 0.05;

    private final Clock mClock;
    private final String mZone;
    private final Map<ServerIncarnation, ServerState> mStates = new HashMap<>();
    private Map<String, Integer> mBusyEngines = Map.of();
    private Deadline mBusyEnginesValidUntil = new Deadline(0);
    private double mStreamMillis = DEFAULT_STREAM_MILLIS;

    /** State of one incarnation of a server. */
    private static final class ServerState {
        private int mInFlight;
        private int mStreams;
        private ReportedLoad mReportedLoad = new ReportedLoad(0, 0, 1, 100);

        /**
         * When the load was last reported; half the minimum while there is no report, so that
         * computing its age can't overflow.
         */
        private long mReportedMillis = Long.MIN_VALUE / 2;

        private long mLastActivityMillis;

        /** When a call last received something from the server. */
        private long mLastReceivedMillis;

        private int mConsecutiveFailures;
        private double mErrorRate;
        private Deadline mSuspectUntil = new Deadline(0);
    }

    /**
     * @param zone availability zone of this process
     */
    public ServerLoads(Clock clock, String zone) {
        mClock = clock;
        mZone = zone;
    }

    private ServerState getOrCreateState(ServerIncarnation incarnation) {
        return mStates.computeIfAbsent(incarnation, key -> new ServerState());
    }

    /** Records that a call is sent to a server. */
    public void recordCallStarted(ServerIncarnation incarnation) {
        getOrCreateState(incarnation).mInFlight++;
    }

    /** Records that a call to a server has ended, successfully or not. */
    public void recordCallEnded(ServerIncarnation incarnation) {
        ServerState state = getOrCreateState(incarnation);
        state.mInFlight = Math.max(0, state.mInFlight - 1);
    }

    /**
     * Changes the number of responses that a server is streaming, and restarts the measurement of
     * its silence.
     *
     * @param change number to add; negative if streams have ended
     */
    public void changeStreamCount(ServerIncarnation incarnation, int change) {
        ServerState state = getOrCreateState(incarnation);
        state.mStreams = Math.max(0, state.mStreams + change);
        state.mLastActivityMillis = mClock.nowMillis();
    }

    /** Records that bytes arrived from a server. */
    public void recordActivity(ServerIncarnation incarnation) {
        ServerState state = getOrCreateState(incarnation);
        state.mLastActivityMillis = mClock.nowMillis();
        state.mLastReceivedMillis = state.mLastActivityMillis;
    }

    /** Returns the time for which no call has received anything from a server. */
    public long silentMillis(ServerIncarnation incarnation) {
        return mClock.nowMillis() - getOrCreateState(incarnation).mLastReceivedMillis;
    }

    /** Records the load that a server reports. */
    public void recordReportedLoad(ServerIncarnation incarnation, ReportedLoad load) {
        ServerState state = getOrCreateState(incarnation);
        state.mReportedLoad = load;
        state.mReportedMillis = mClock.nowMillis();
    }

    /**
     * Replaces the numbers of active calls on busy engines that the controller has counted over all
     * entries, by the engine's id.
     */
    public void recordBusyEngines(Map<String, Integer> busyEngines) {
        mBusyEngines = Map.copyOf(busyEngines);
        mBusyEnginesValidUntil = Deadline.after(mClock.nowMillis(), MAX_BUSY_AGE_MILLIS);
    }

    /** Records the time from the first to the last event of a complete stream. */
    public void recordStream(long millis) {
        mStreamMillis += NEWEST_STREAM_WEIGHT * (millis - mStreamMillis);
    }

    /** Returns the mean time that a running stream takes, in milliseconds. */
    public double streamMillis() {
        return mStreamMillis;
    }

    private int busyRequests(String server) {
        return mBusyEnginesValidUntil.isPast(mClock.nowMillis())
                ? 0
                : mBusyEngines.getOrDefault(server, 0);
    }

    /** Records whether a server responded to a call successfully, and updates its error rate. */
    public void recordResponse(ServerIncarnation incarnation, boolean success) {
        ServerState state = getOrCreateState(incarnation);
        state.mErrorRate += NEWEST_CALL_WEIGHT * ((success ? 0 : 1) - state.mErrorRate);
        if (success) {
            state.mConsecutiveFailures = 0;
        }
    }

    /**
     * Records that a server could not be reached, or sent no response or a broken one, and makes it
     * suspect for a while.
     */
    public void recordFailure(ServerIncarnation incarnation) {
        ServerState state = getOrCreateState(incarnation);
        long suspicionMillis = MIN_SUSPICION_MILLIS << Math.min(state.mConsecutiveFailures, 3);
        state.mConsecutiveFailures++;
        state.mErrorRate += NEWEST_CALL_WEIGHT * (1 - state.mErrorRate);
        state.mSuspectUntil =
                Deadline.after(mClock.nowMillis(), Math.min(suspicionMillis, MAX_SUSPICION_MILLIS));
    }

    /** Whether a server should be avoided for now because it failed or went silent. */
    public boolean isSuspect(ServerIncarnation incarnation) {
        ServerState state = getOrCreateState(incarnation);
        long now = mClock.nowMillis();
        return !state.mSuspectUntil.isPast(now) || isSilent(state, now);
    }

    /** Whether a server is suspect because of a recent failure, not only because it is silent. */
    public boolean hasRecentFailure(ServerIncarnation incarnation) {
        return !getOrCreateState(incarnation).mSuspectUntil.isPast(mClock.nowMillis());
    }

    private static boolean isSilent(ServerState state, long now) {
        return state.mStreams > 0 && now - state.mLastActivityMillis > STREAM_SILENCE_MILLIS;
    }

    /** Returns a server with its current state, as a candidate for a call. */
    public Candidate candidate(ServerRecord server) {
        ServerState state = getOrCreateState(server.incarnation());
        boolean reportIsCurrent = mClock.nowMillis() - state.mReportedMillis <= MAX_LOAD_AGE_MILLIS;
        int reported =
                reportIsCurrent ? state.mReportedLoad.running() + state.mReportedLoad.waiting() : 0;
        return new Candidate(
                server,
                state.mInFlight,
                Math.max(reported, busyRequests(server.id())),
                reportIsCurrent ? state.mReportedLoad.slownessPercent() / PERCENT : 1,
                state.mErrorRate,
                isSuspect(server.incarnation()),
                server.zone().equals(mZone));
    }

    /** Discards the state of servers that are not in the set and have no call in progress. */
    public void retain(Set<ServerIncarnation> incarnations) {
        for (ServerIncarnation incarnation : new HashSet<>(mStates.keySet())) {
            if (!incarnations.contains(incarnation) && mStates.get(incarnation).mInFlight == 0) {
                mStates.remove(incarnation);
            }
        }
    }
}
