package org.cornelway.traffic;

import java.util.Optional;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.time.Deadline;

/**
 * Decides, at the moment when one attempt is sent, whether the call may still be sent and its
 * server still takes it. Holds the permit of the attempt if the server is limited; a permit that
 * was not used is returned.
 *
 * <p>Confined to the traffic thread; lives as long as its attempt.
 */
final class SendGate {
    private final TrafficContext mContext;
    private final CallHandler mCall;
    private final ServerIncarnation mServer;
    private Optional<Deadline> mPermit = Optional.empty();

    SendGate(TrafficContext context, CallHandler call, ServerIncarnation server) {
        mContext = context;
        mCall = call;
        mServer = server;
    }

    private ServerLimits limits() {
        return mContext.limits();
    }

    private long nowMillis() {
        return mContext.clock().nowMillis();
    }

    /** Takes a permit if the server is limited, so that no other call takes the same one. */
    void reserve() {
        if (mPermit.isEmpty()) {
            mPermit = limits().takePermit(mServer, nowMillis());
        }
    }

    /** Returns why the call is not sent; if there is no reason, the permit is used up. */
    Optional<String> reasonNotToSend() {
        if (!mCall.customer().maySend(mCall.route())) {
            return Optional.of("the key was removed before the send");
        }
        if (!mContext.takesCalls(mServer)) {
            return Optional.of("the server left or paused before the send");
        }
        if (mCall.deadline().isPast(nowMillis())) {
            return Optional.of("the deadline passed before the send");
        }
        reserve();
        if (limits().isLimited(mServer) && mPermit.isEmpty()) {
            return Optional.of("the server named a limit before the send");
        }
        if (!mCall.quota().spend()) {
            return Optional.of("the tokens were taken back before the send");
        }
        mPermit = Optional.empty();
        return Optional.empty();
    }

    /** Returns the permit if it was not used. */
    void release() {
        mPermit.ifPresent(permit -> limits().returnPermit(mServer, permit));
        mPermit = Optional.empty();
    }
}
