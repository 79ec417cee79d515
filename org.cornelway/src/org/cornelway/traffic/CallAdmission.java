package org.cornelway.traffic;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.Candidate;
import org.cornelway.dispatch.HedgePolicy;
import org.cornelway.result.ResultCode;
import org.cornelway.route.Route;
import org.cornelway.time.Deadline;

/**
 * Decides whether one call can be sent now, whatever server is chosen for it. Confined to the
 * traffic thread; lives as long as its call.
 */
final class CallAdmission {
    /** Remaining time below which another send cannot succeed. */
    static final long MIN_REMAINING_MILLIS = 25;

    /** Default delay after which a caller may retry a refused call. */
    static final long RETRY_AFTER_MILLIS = 300;

    /** Delay before a call that a busy engine has refused is sent again. */
    private static final long BUSY_DELAY_MILLIS = 30;

    /** How often that delay doubles at most, for a stream that has begun. */
    private static final int MAX_DELAY_DOUBLINGS = 5;

    /** Time over which the callers come back that were refused while servers wanted no calls. */
    private static final int SPREAD_MILLIS = 300;

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final ServerSelector mSelector;
    private final SendHistory mHistory;

    /**
     * Why a call cannot be sent now. Immutable.
     *
     * @param retryAfterMillis after what time it may be sent
     */
    record Rejection(ResultCode code, String reason, long retryAfterMillis) {}

    CallAdmission(
            TrafficContext context,
            CallerRequest request,
            ServerSelector selector,
            SendHistory history) {
        mContext = context;
        mRequest = request;
        mSelector = selector;
        mHistory = history;
    }

    /**
     * Returns why the call cannot be sent now; empty if it can.
     *
     * @param mayRequestModel whether the controller may still be asked for another server
     */
    Optional<Rejection> check(
            String service,
            Deadline deadline,
            List<Candidate> candidates,
            boolean mayRequestModel) {
        long now = mContext.clock().nowMillis();
        if (deadline.remainingMillis(now) < MIN_REMAINING_MILLIS) {
            return Optional.of(
                    new Rejection(
                            ResultCode.DEADLINE_PASSED,
                            "no time left to send the call",
                            RETRY_AFTER_MILLIS));
        }
        if (mContext.drain().isAcceptingOver() && mHistory.possibleRunCount() == 0) {
            return Optional.of(
                    new Rejection(
                            ResultCode.AGENT_LEAVING, "the process stops", RETRY_AFTER_MILLIS));
        }
        Optional<Deadline> blockedUntil = promptBlockedUntil();
        if (blockedUntil.isPresent()) {
            return Optional.of(
                    new Rejection(
                            ResultCode.PROMPT_BLOCKED,
                            "a part of the prompt has crashed servers",
                            blockedUntil.get().remainingMillis(now)));
        }
        if (!candidates.isEmpty()) {
            return Optional.empty();
        }
        return mSelector
                .pausedUntil(service)
                .map(until -> paused(until.remainingMillis(now)))
                .or(() -> mayRequestModel ? Optional.empty() : atLimit(service));
    }

    /** Rejects the call if servers would take it but for their limits. */
    private Optional<Rejection> atLimit(String service) {
        List<ServerIncarnation> servers = mSelector.atLimit(service);
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        long now = mContext.clock().nowMillis();
        double callsPerSecond = mContext.limits().totalCallsPerSecond(servers);
        mContext.metrics().counter("limits.refused").inc();
        long retryAfterMillis =
                mContext.limitBackoff()
                        .refuse(
                                callsPerSecond,
                                mContext.view().get().entryCount(),
                                mRequest.head().requestId().hashCode(),
                                now);
        ServerIncarnation first = servers.get(0);
        String reason =
                String.format(
                        Locale.ROOT,
                        "%d servers at limits of %.2f calls/s in all; %s named %.2f %d ms ago",
                        servers.size(),
                        callsPerSecond,
                        first.id(),
                        mContext.limits().callsPerSecond(first).orElse(0),
                        mContext.limits().ageMillis(first, now));
        return Optional.of(new Rejection(ResultCode.QUEUE_FULL, reason, retryAfterMillis));
    }

    /**
     * Whether a call that may have run can be sent again. A stream that has begun may go back to a
     * server; {@link ServerSelector} keeps it within its number of servers.
     *
     * @param relay relay of a stream; empty if the call is for none
     * @param running number of attempts that run now and may have run the call
     */
    boolean canRepeat(Route route, Deadline deadline, Optional<StreamRelay> relay, int running) {
        long now = mContext.clock().nowMillis();
        boolean begun = relay.map(StreamRelay::isHeadSent).orElse(false);
        if (!route.isIdempotent()
                || (begun ? mHistory.isExhaustedByRuns() : mHistory.isExhausted())
                || deadline.remainingMillis(now) < MIN_REMAINING_MILLIS) {
            return false;
        }
        return relay.filter(StreamRelay::isHeadSent)
                .map(StreamRelay::canResume)
                .orElse(mHistory.possibleRunCount() + running < route.maxAttempts());
    }

    /**
     * Returns the delay before the call is sent again after a send that did not run; empty if it is
     * not sent again. A stream that has begun is sent until its deadline, since its caller has a
     * part of it and waits for the rest; less and less often, so that it does not use up the budget
     * of the other calls.
     *
     * @param begun whether the caller has received a part of the stream
     * @param busy whether a server has refused the call because it is busy
     */
    OptionalLong delayAfterNotRun(boolean begun, boolean busy) {
        if (mHistory.isExhausted() && !begun) {
            return OptionalLong.empty();
        }
        int doublings = begun ? Math.min(mHistory.sends() - 1, MAX_DELAY_DOUBLINGS) : 0;
        boolean delayed = busy || mHistory.isExhausted();
        return OptionalLong.of(delayed ? BUSY_DELAY_MILLIS << doublings : 0);
    }

    /** Takes a send from the retry budget; returns false if it is exhausted. */
    boolean tryAcquireResend(String service) {
        return mContext.retryBudget().tryAcquire(service, mContext.view().get().entryCount());
    }

    /**
     * Returns another server that can take the call at once, and takes a send from the retry
     * budget; empty if there is no such server or no budget.
     *
     * @param silent server at which the call runs and which is silent
     * @param early whether the server does not count as silent yet; most of the budget must then be
     *     left
     */
    Optional<Candidate> acquireAlternative(
            String service, ServerIncarnation silent, boolean early) {
        int entries = mContext.view().get().entryCount();
        double share = early ? HedgePolicy.EARLY_BUDGET_SHARE : 1;
        return promptBlockedUntil().isPresent()
                ? Optional.empty()
                : mSelector
                        .alternative(service, silent, early)
                        .filter(n -> mContext.retryBudget().tryAcquire(service, entries, share));
    }

    /** Returns until when no server takes the call, as a part of its prompt crashed servers. */
    Optional<Deadline> promptBlockedUntil() {
        return mContext.evidence()
                .blockedUntil(mRequest.head().sharedParts(), mContext.clock().nowMillis());
    }

    /** The callers come back one after the other, not all when the servers take calls again. */
    private Rejection paused(long pauseMillis) {
        int spread = Math.floorMod(mRequest.head().requestId().hashCode(), SPREAD_MILLIS);
        return new Rejection(
                ResultCode.QUEUE_FULL,
                "all servers want no calls for " + pauseMillis + " ms",
                pauseMillis + spread);
    }
}
