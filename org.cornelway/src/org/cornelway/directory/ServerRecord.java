package org.cornelway.directory;

import java.util.Map;
import java.util.Set;

/**
 * The announcement that a backend server stores in the key-value service. Immutable.
 *
 * @param incarnation id and start time of the server
 * @param service service that the server belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param zone its availability zone
 * @param slots number of requests that it can process concurrently
 * @param draining whether it accepts no new calls
 * @param heartbeatSequence sequence number of the announcement within the incarnation; a newer
 *     announcement has a higher one
 * @param models models that it holds, each with its adapters; empty for a plain service
 * @param inMemory models whose weights are cached in its host memory
 * @param onDisk models whose weights are cached on its disk
 */
public record ServerRecord(
        ServerIncarnation incarnation,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining,
        long heartbeatSequence,
        Map<String, Set<String>> models,
        Set<String> inMemory,
        Set<String> onDisk) {

    /** Returns the id of the server. */
    public String id() {
        return incarnation.id();
    }

    /** Returns the IP address and port, separated by a colon. */
    public String address() {
        return host + ":" + port;
    }
}
