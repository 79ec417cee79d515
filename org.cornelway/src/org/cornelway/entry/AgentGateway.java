package org.cornelway.entry;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.cornelway.platform.Member;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.WithdrawReply;

/** Sends an entry's calls to the agents. Implementations are thread-safe. */
public interface AgentGateway {
    /**
     * Starts an exchange at an agent, or attaches to one that the agent already knows.
     *
     * @param reconnect whether to replace the connection to the agent first
     * @param listener receives the frames of this call
     * @return a handle that cancels this call, but not the exchange at the agent
     */
    Disposable exchange(
            Member agent, ExchangeRequest request, FrameListener listener, boolean reconnect);

    /**
     * Asks an agent to withdraw a request; the reply tells whether the request has started. Fails
     * if no reply arrives in time.
     *
     * @param deadlineMillis deadline of the request, in milliseconds since the epoch
     */
    Single<WithdrawReply> withdraw(Member agent, String requestId, long deadlineMillis);
}
