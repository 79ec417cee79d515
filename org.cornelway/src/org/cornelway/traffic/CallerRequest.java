package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.cornelway.time.Deadline;

/**
 * A whole request of a caller.
 *
 * @param message request line and headers as the caller sent them
 * @param head what the headers say
 * @param body whole body; released by the connection after the answer
 * @param arrivedMillis when its last byte came
 * @param callerDeadline when the caller stops waiting; far away where it does not say
 */
record CallerRequest(
        HttpRequest message,
        RequestHead head,
        ByteBuf body,
        long arrivedMillis,
        Deadline callerDeadline) {}
