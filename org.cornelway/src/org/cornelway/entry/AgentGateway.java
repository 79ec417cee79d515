package org.cornelway.entry;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.cornelway.platform.Member;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.WithdrawReply;

/** The entry's way to the agents. Thread-safe. */
public interface AgentGateway {
    /**
     * Starts or attaches to an exchange.
     *
     * @param fresh whether to replace the connection first
     * @return cancels the call, not the exchange
     */
    Disposable exchange(
            Member agent, ExchangeRequest request, FrameListener listener, boolean fresh);

    /** Withdraws a request. */
    Single<WithdrawReply> withdraw(Member agent, String requestId, long deadlineMillis);
}
