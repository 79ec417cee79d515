package org.cornelway.relay;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.platform.Member;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;

/** Calls other processes of the system. Thread-safe; each call ends within a bounded time. */
public interface PeerClient {
    /** Exchanges document revisions and documents. */
    Single<RelayReply> relay(Member peer, RelayRequest request);

    /** Requests a process's description of its state. */
    Single<DescribeReply> describe(Member peer);
}
