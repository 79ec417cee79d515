package org.cornelway.routing;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.time.Clock;

/**
 * The load of each agent, as known from its responses and from this entry's open requests at it.
 *
 * <p>Thread-safe.
 */
public final class AgentLoadTable {
    /** Time after which a report that an agent has a model loaded is no longer used. */
    private static final long RESIDENT_EXPIRY_MILLIS = 60_000;

    /** Time for which an agent that reported that it is leaving is avoided. */
    private static final long AVOID_LEAVING_MILLIS = 5_000;

    /** Time for which an unreachable agent is avoided. */
    private static final long AVOID_UNREACHABLE_MILLIS = 1_000;

    private final Clock mClock;
    private final Map<String, AtomicInteger> mOpenRequests = new ConcurrentHashMap<>();
    private final Map<String, AgentLoad> mReports = new ConcurrentHashMap<>();
    private final Map<String, Long> mResidentUntil = new ConcurrentHashMap<>();
    private final Map<String, Long> mAvoidUntil = new ConcurrentHashMap<>();
    private final SlowAgentDetector mSlowAgents;

    /**
     * @param clock clock for the age of reports and of failures
     */
    public AgentLoadTable(Clock clock) {
        mClock = clock;
        mSlowAgents = new SlowAgentDetector(clock);
    }

    /** Records that a request was submitted to an agent. */
    public void recordRequestStarted(String agent) {
        mOpenRequests.computeIfAbsent(agent, id -> new AtomicInteger()).incrementAndGet();
    }

    /** Records that a request at an agent has ended. */
    public void recordRequestEnded(String agent) {
        mOpenRequests.computeIfAbsent(agent, id -> new AtomicInteger()).decrementAndGet();
    }

    /**
     * Records the load that an agent reported.
     *
     * @param model the model that the response was for, or empty
     */
    public void recordReport(String agent, String model, AgentLoad load) {
        mReports.put(agent, load);
        if (!model.isEmpty() && load.getResident()) {
            mResidentUntil.put(agent + "/" + model, mClock.nowMillis() + RESIDENT_EXPIRY_MILLIS);
        } else if (!model.isEmpty()) {
            mResidentUntil.remove(agent + "/" + model);
        }
        if (load.getLeaving()) {
            mAvoidUntil.put(agent, mClock.nowMillis() + AVOID_LEAVING_MILLIS);
        }
    }

    /** Records that an agent could not be reached, so that it is avoided for a while. */
    public void recordUnreachable(String agent) {
        mAvoidUntil.merge(agent, mClock.nowMillis() + AVOID_UNREACHABLE_MILLIS, Math::max);
    }

    /**
     * Whether an agent is to be avoided: it was recently unreachable or reported that it is
     * leaving.
     */
    public boolean isAvoided(String agent) {
        return mAvoidUntil.getOrDefault(agent, 0L) > mClock.nowMillis();
    }

    /** Whether an agent reported recently that it has a model loaded. */
    public boolean isResident(String agent, String model) {
        return mResidentUntil.getOrDefault(agent + "/" + model, 0L) > mClock.nowMillis();
    }

    /** Returns the detector of agents that stream slowly. */
    public SlowAgentDetector slowAgents() {
        return mSlowAgents;
    }

    /**
     * Returns the number of an agent's requests divided by its capacity. The number is that of its
     * last report, or that of this entry's open requests at the agent if this is larger. Without a
     * report the capacity is unknown, and the number of open requests is returned undivided.
     */
    public double load(String agent) {
        AtomicInteger openRequests = mOpenRequests.get(agent);
        int openCount = openRequests == null ? 0 : openRequests.get();
        AgentLoad report = mReports.get(agent);
        if (report == null || report.getCapacity() == 0) {
            return openCount;
        }
        int reported = report.getActive() + report.getWaiting();
        return (double) Math.max(openCount, reported) / report.getCapacity();
    }

    /** Returns the incarnation stated in the last response of an agent; empty if there was none. */
    public Optional<String> incarnation(String agent) {
        return Optional.ofNullable(mReports.get(agent)).map(AgentLoad::getIncarnation);
    }

    /**
     * Removes agents that are no longer members.
     *
     * @param members the current members by instance id
     */
    public void retain(Map<String, ?> members) {
        mOpenRequests.keySet().retainAll(members.keySet());
        mReports.keySet().retainAll(members.keySet());
        mAvoidUntil.keySet().retainAll(members.keySet());
        mSlowAgents.retain(members);
        long now = mClock.nowMillis();
        mResidentUntil.values().removeIf(until -> until <= now);
    }
}
