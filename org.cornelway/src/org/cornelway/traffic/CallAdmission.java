package org.cornelway.traffic;

import java.util.List;
import java.util.Optional;
import org.cornelway.dispatch.Candidate;
import org.cornelway.result.ResultCode;
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

    /** Returns why the call cannot be sent now; empty if it can. */
    Optional<Rejection> check(String service, Deadline deadline, List<Candidate> candidates) {
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
        return candidates.isEmpty()
                ? mSelector.pausedUntil(service).map(until -> paused(until.remainingMillis(now)))
                : Optional.empty();
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
