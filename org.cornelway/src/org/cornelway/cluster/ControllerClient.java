package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.platform.Member;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.UseReport;

/** Calls other entries. Thread-safe; each call ends within a bounded time. */
public interface ControllerClient {
    /**
     * Asks for a model.
     *
     * @param waitMillis longest wait for the answer
     */
    Single<ModelGrant> requestModel(Member controller, ModelAsk ask, long waitMillis);

    /** Reports use, and learns what the engines hold. */
    Single<HoldingsReply> reportUsage(Member controller, UseReport report);
}
