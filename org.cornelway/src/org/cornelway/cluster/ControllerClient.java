package org.cornelway.cluster;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.platform.Member;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ModelAsk;
import org.cornelway.rpc.ModelGrant;
import org.cornelway.rpc.QuotaReply;
import org.cornelway.rpc.QuotaReport;
import org.cornelway.rpc.UseReport;

/**
 * Calls the controller when it is another entry. Implementations are thread-safe; each call ends
 * within a bounded time.
 */
public interface ControllerClient {
    /**
     * Requests a model from the controller. Fails if there is no reply in time.
     *
     * @param waitMillis longest time to wait for the reply
     */
    Single<ModelGrant> requestModel(Member controller, ModelAsk request, long waitMillis);

    /**
     * Reports this process's usage of models. The reply lists the models on the engines if that
     * list has changed since the version that the report names.
     */
    Single<HoldingsReply> reportUsage(Member controller, UseReport report);

    /**
     * Reports this process's use of customers' quotas to an entry, whether or not it is the
     * controller, and returns what its ledger grants. Fails if there is no reply in time.
     *
     * @param waitMillis longest time to wait for the reply
     */
    Single<QuotaReply> takeQuota(Member entry, QuotaReport report, long waitMillis);
}
