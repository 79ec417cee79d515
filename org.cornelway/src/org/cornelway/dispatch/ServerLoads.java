package org.cornelway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.directory.ServerRecord;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import org.cornelway.traffic.ReportedLoad;
import org.cornelway.traffic.RequestHead;

/**
 * Load and failures of each backend server, as seen from the calls of this process.
 *
 * <p>State is kept by incarnation, so a restarted server starts without load and failures. Confined
 * to the traffic thread.
 */
public final class ServerLoads {
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

    /** Mean age of the controller's counts of active calls when they arrive. */
    private static final long CONTROLLER_COUNT_AGE_MILLIS = 250;

    /** Assumed time that a running stream takes until one has been measured. */
    private static final double DEFAULT_STREAM_MILLIS = 1_000;

    /** Weight of the newest stream in the mean time that a running stream takes. */
    private static final double NEWEST_STREAM_WEIGHT = 0.05;

    /** Tokens that a call to an engine is assumed to hold until one is sent. */
    private static final double DEFAULT_CALL_TOKENS = 1_000;

    /** Weight of the newest call in the mean number of tokens. */
    private static final double NEWEST_TOKENS_WEIGHT = 0.02;

    private final Clock mClock;
    private final String mZone;
    private final Map<ServerIncarnation, ServerState> mStates = new HashMap<>();
    private final SlowServers mSlow;

    /** The controller's last counts of active calls, by the engine's id. */
    private Map<String, Integer> mActiveCalls = Map.of();

    /** When they were made. */
    private long mCountedMillis;

    private final ServiceTimes mServiceTimes = new ServiceTimes();
    private double mStreamMillis = DEFAULT_STREAM_MILLIS;
    private double mMeanCallTokens = DEFAULT_CALL_TOKENS;

    /** State of one incarnation of a server. */
    private static final class ServerState {
        private int mInFlight;
        private int mStreams;

        /** Tokens that the calls of this process hold or will hold in the engine's memory. */
        private long mTokens;

        private final OtherRequests.Count mOthers = new OtherRequests.Count();

        private long mLastActivityMillis;

        /** When a call last received something from the server. */
        private long mLastReceivedMillis;

        private int mConsecutiveFailures;
        private double mErrorRate;
        private Deadline mSuspectUntil = new Deadline(0);
    }

    /**
     * @param zone availability zone of this process
     * @param slowListener is told which servers become slow or normal
     */
    public ServerLoads(Clock clock, String zone, SlowServers.Listener slowListener) {
        mClock = clock;
        mZone = zone;
        mSlow = new SlowServers(slowListener);
    }

    /** Returns the servers that are slow against their peers. */
    public SlowServers slow() {
        return mSlow;
    }

    /** Returns the times that recent calls took. */
    public ServiceTimes serviceTimes() {
        return mServiceTimes;
    }

    private ServerState getOrCreateState(ServerIncarnation incarnation) {
        return mStates.computeIfAbsent(incarnation, this::newState);
    }

    /** Creates a state with what the controller has counted there; no call is in flight yet. */
    private ServerState newState(ServerIncarnation incarnation) {
        ServerState state = new ServerState();
        Integer active = mActiveCalls.get(incarnation.id());
        if (active != null) {
            state.mOthers.record(active, 0, mCountedMillis);
        }
        return state;
    }

    /**
     * Records that a call is sent to a server.
     *
     * @param tokens tokens that it holds in the server's memory; 0 for a plain service
     */
    public void recordCallStarted(ServerIncarnation incarnation, long tokens) {
        ServerState state = getOrCreateState(incarnation);
        state.mInFlight++;
        state.mTokens += tokens;
        if (tokens > 0) {
            mMeanCallTokens += NEWEST_TOKENS_WEIGHT * (tokens - mMeanCallTokens);
        }
    }

    /**
     * Records that a call to a server has ended, successfully or not.
     *
     * @param tokens as at its start
     */
    public void recordCallEnded(ServerIncarnation incarnation, long tokens) {
        ServerState state = getOrCreateState(incarnation);
        state.mInFlight = Math.max(0, state.mInFlight - 1);
        state.mTokens = Math.max(0, state.mTokens - tokens);
    }

    /**
     * Returns the tokens that a call is expected to hold in an engine's memory, those of a usual
     * call if its caller does not state them; 0 for a plain service.
     */
    public long tokensOf(RequestHead head) {
        return head.target().isEmpty()
                ? 0
                : head.expectedTotalTokens().orElse(Math.round(mMeanCallTokens));
    }

    /** Records the time that a plain server took for a call of a route. */
    public void recordServiceTime(ServerRecord server, String route, long millis) {
        mServiceTimes.record(route, millis);
        recordAtLeast(server, route, millis);
    }

    /** Records that a plain server has taken this time for a call, which it has not answered. */
    public void recordAtLeast(ServerRecord server, String route, long millis) {
        mSlow.recordWork(
                server.incarnation(),
                server.service(),
                route,
                millis,
                1,
                SlowServers.CALL_WEIGHT,
                mClock.nowMillis());
    }

    /**
     * Records events of a stream.
     *
     * @param model model of the stream
     * @param millis time since the event before
     */
    public void recordEvents(ServerRecord server, String model, long millis, int events) {
        mSlow.recordWork(
                server.incarnation(),
                server.service(),
                model,
                millis,
                events,
                SlowServers.EVENT_WEIGHT,
                mClock.nowMillis());
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
    public void recordReportedLoad(ServerRecord server, ReportedLoad load) {
        long now = mClock.nowMillis();
        ServerState state = getOrCreateState(server.incarnation());
        state.mOthers.record(load.running() + load.waiting(), state.mInFlight, now);
        mSlow.recordReport(
                server.incarnation(), server.service(), load.slownessPercent() / PERCENT, now);
    }

    /**
     * Records the numbers of active calls on engines that the controller has counted over all
     * entries, by the engine's id.
     */
    public void recordActiveCalls(Map<String, Integer> activeCalls) {
        mActiveCalls = Map.copyOf(activeCalls);
        mCountedMillis = mClock.nowMillis() - CONTROLLER_COUNT_AGE_MILLIS;
        mStates.forEach(
                (incarnation, state) -> {
                    Integer active = activeCalls.get(incarnation.id());
                    if (active != null) {
                        state.mOthers.record(active, state.mInFlight, mCountedMillis);
                    }
                });
    }

    /** Records the time from the first to the last event of a complete stream. */
    public void recordStream(long millis) {
        mStreamMillis += NEWEST_STREAM_WEIGHT * (millis - mStreamMillis);
    }

    /** Returns the mean time that a running stream takes, in milliseconds. */
    public double streamMillis() {
        return mStreamMillis;
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

    /**
     * Returns servers with their current states, as candidates for a call.
     *
     * @param tokenCapacity tokens that the memory of each engine holds; 0 if they are no engines or
     *     this is not known
     * @param entries number of entries that send calls to the servers
     */
    public List<Candidate> candidates(List<ServerRecord> servers, long tokenCapacity, int entries) {
        long now = mClock.nowMillis();
        List<ServerState> states = new ArrayList<>(servers.size());
        List<OtherRequests.Count> counts = new ArrayList<>(servers.size());
        for (ServerRecord server : servers) {
            ServerState state = getOrCreateState(server.incarnation());
            mSlow.add(server.incarnation(), server.service());
            states.add(state);
            counts.add(state.mOthers);
        }
        mSlow.compare(now);
        int[] others =
                OtherRequests.estimate(counts, OtherRequests.horizonMillis(tokenCapacity > 0), now);
        List<Candidate> candidates = new ArrayList<>(servers.size());
        for (int i = 0; i < others.length; i++) {
            double comparable =
                    OtherRequests.comparable(states.get(i).mInFlight, others[i], entries);
            candidates.add(
                    candidate(servers.get(i), states.get(i), others[i], comparable, tokenCapacity));
        }
        return candidates;
    }

    private Candidate candidate(
            ServerRecord server,
            ServerState state,
            int others,
            double comparable,
            long tokenCapacity) {
        return new Candidate(
                server,
                state.mInFlight,
                state.mInFlight + others,
                comparable,
                Math.max(1, mSlow.factor(server.incarnation())),
                state.mErrorRate,
                isSuspect(server.incarnation()),
                server.zone().equals(mZone),
                mSlow.isSlow(server.incarnation()),
                state.mTokens + Math.round(others * mMeanCallTokens),
                tokenCapacity);
    }

    /** Discards the state of servers that are not in the set and have no call in progress. */
    public void retain(Set<ServerIncarnation> incarnations) {
        mSlow.retain(incarnations);
        mSlow.compare(mClock.nowMillis());
        for (ServerIncarnation incarnation : new HashSet<>(mStates.keySet())) {
            if (!incarnations.contains(incarnation) && mStates.get(incarnation).mInFlight == 0) {
                mStates.remove(incarnation);
            }
        }
    }
}
