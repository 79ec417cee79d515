package org.cornelway.routing;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.time.Clock;

/**
 * What this entry knows of the agents' load from their answers and from its own open requests.
 *
 * <p>Thread-safe.
 */
public final class AgentLoadTable {
    private static final long RESIDENT_MILLIS = 60_000;
    private static final long LEAVING_MILLIS = 5_000;
    private static final long FAILED_MILLIS = 1_000;

    private final Clock mClock;
    private final Map<String, AtomicInteger> mOpen = new ConcurrentHashMap<>();
    private final Map<String, AgentLoad> mReports = new ConcurrentHashMap<>();
    private final Map<String, Long> mResidentUntil = new ConcurrentHashMap<>();
    private final Map<String, Long> mAvoidUntil = new ConcurrentHashMap<>();
    private final SlowAgentDetector mProgress;

    /**
     * @param clock tells how old a report is
     */
    public AgentLoadTable(Clock clock) {
        mClock = clock;
        mProgress = new SlowAgentDetector(clock);
    }

    /** Notes that a request was handed to an agent. */
    public void requestStarted(String agent) {
        mOpen.computeIfAbsent(agent, id -> new AtomicInteger()).incrementAndGet();
    }

    /** Notes that a request at an agent ended. */
    public void requestEnded(String agent) {
        mOpen.computeIfAbsent(agent, id -> new AtomicInteger()).decrementAndGet();
    }

    /** Takes an agent's report, which came with an answer for a model, or with an empty one. */
    public void report(String agent, String model, AgentLoad load) {
        mReports.put(agent, load);
        if (!model.isEmpty() && load.getResident()) {
            mResidentUntil.put(agent + "/" + model, mClock.nowMillis() + RESIDENT_MILLIS);
        } else if (!model.isEmpty()) {
            mResidentUntil.remove(agent + "/" + model);
        }
        if (load.getLeaving()) {
            mAvoidUntil.put(agent, mClock.nowMillis() + LEAVING_MILLIS);
        }
    }

    /** Notes that an agent could not be reached. */
    public void agentUnreachable(String agent) {
        mAvoidUntil.merge(agent, mClock.nowMillis() + FAILED_MILLIS, Math::max);
    }

    /** Whether an agent said that it leaves, or failed, a moment ago. */
    public boolean isAvoided(String agent) {
        return mAvoidUntil.getOrDefault(agent, 0L) > mClock.nowMillis();
    }

    /** Whether an agent said lately that it has a model loaded. */
    public boolean isResident(String agent, String model) {
        return mResidentUntil.getOrDefault(agent + "/" + model, 0L) > mClock.nowMillis();
    }

    /** What is known of the agents' progress on answers. */
    public SlowAgentDetector slowAgents() {
        return mProgress;
    }

    /** Load per capacity: the larger of the last report and this entry's own open requests. */
    public double load(String agent) {
        AtomicInteger open = mOpen.get(agent);
        int own = open == null ? 0 : open.get();
        AgentLoad report = mReports.get(agent);
        if (report == null || report.getCapacity() == 0) {
            return own;
        }
        int reported = report.getActive() + report.getWaiting();
        return (double) Math.max(own, reported) / report.getCapacity();
    }

    /** The incarnation that an agent last answered with. */
    public Optional<String> incarnation(String agent) {
        return Optional.ofNullable(mReports.get(agent)).map(AgentLoad::getIncarnation);
    }

    /** Forgets agents that are no members any more. */
    public void retain(Map<String, ?> members) {
        mOpen.keySet().retainAll(members.keySet());
        mReports.keySet().retainAll(members.keySet());
        mAvoidUntil.keySet().retainAll(members.keySet());
        mProgress.retain(members);
        long now = mClock.nowMillis();
        mResidentUntil.values().removeIf(until -> until <= now);
    }
}
