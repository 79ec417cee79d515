package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.cornelway.time.Deadline;

/**
 * A complete request of a caller. Confined to the traffic thread.
 *
 * @param message request line and headers as the caller sent them
 * @param head the parsed headers
 * @param body the complete body; released by the connection after the response
 * @param arrivedMillis earliest time at which the last byte of the request may have arrived, in
 *     milliseconds since the epoch
 * @param callerDeadline when the caller stops waiting; far in the future if it states no timeout
 */
record CallerRequest(
        HttpRequest message,
        RequestHead head,
        ByteBuf body,
        long arrivedMillis,
        Deadline callerDeadline) {
    @Override
    public String toString() {
        // The text form of the message has all headers, and so the key.
        return "CallerRequest[" + head + "]";
    }
}
