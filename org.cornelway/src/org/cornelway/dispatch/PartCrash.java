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
     * last and the break that was seen first count. A call that was sent after that break was
     * broken off by something else, and counts as sent just before it, so that one crash never
     * counts as two. The result does not depend on the order of several merges.
     */
    PartCrash merge(PartCrash other) {
        if (equals(other)) {
            return this;
        }
        long crashed = Math.min(crashedMillis, other.crashedMillis);
        long sent = Math.max(sentMillis, other.sentMillis);
        return new PartCrash(
                part,
                Math.max(position, other.position),
                server,
                Math.min(sent, crashed - 1),
                crashed);
    }
}
