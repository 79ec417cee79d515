package org.cornelway.traffic;

import java.util.List;
import org.cornelway.directory.ServerRecord;

/**
 * What one attempt tells about the parts of its prompt: whether a server crashes on them. Confined
 * to the traffic thread.
 */
final class PromptEvidence {
    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final ServerRecord mServer;

    PromptEvidence(TrafficContext context, CallerRequest request, ServerRecord server) {
        mContext = context;
        mRequest = request;
        mServer = server;
    }

    private long nowMillis() {
        return mContext.clock().nowMillis();
    }

    /** Records that the server got past the beginning of the answer. */
    void recordAnswered() {
        mContext.evidence().recordAnswered(mRequest.head().sharedParts(), nowMillis());
    }

    /**
     * Records that the answer broke off at its beginning, as in a crash.
     *
     * @param sentMillis when the call was sent, in milliseconds since the epoch
     */
    void recordBreak(long sentMillis, CallLog log) {
        List<String> suspects =
                mContext.evidence()
                        .recordCrash(
                                mRequest.head().sharedParts(),
                                mServer.incarnation(),
                                sentMillis,
                                nowMillis());
        log.logSuspected(mServer.id(), suspects);
    }
}
