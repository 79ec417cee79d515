package org.cornelway.dispatch;

import org.cornelway.directory.ServerIncarnation;

/**
 * A call whose prompt contains a part broke off when its server crashed, before its answer had gone
 * past its beginning. Immutable.
 *
 * @param part id of the part
 * @param position index of the part in the prompt
 * @param server the incarnation of the server that crashed
 * @param sentMillis when the call was sent, in milliseconds since the epoch
 * @param crashedMillis when the call broke off, in milliseconds since the epoch
 */
public record PartCrash(
        String part, int position, ServerIncarnation server, long sentMillis, long crashedMillis) {
    /**
     * Combines two calls with the same part that the same crash broke off: the one that was sent
     * last and the break that was seen first count.
     */
    PartCrash merge(PartCrash other) {
        return new PartCrash(
                part,
                Math.max(position, other.position),
                server,
                Math.max(sentMillis, other.sentMillis),
                Math.min(crashedMillis, other.crashedMillis));
    }
}
