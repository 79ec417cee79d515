package org.cornelway.directory;

import java.util.Map;
import java.util.Set;

/**
 * What a backend server announces of itself. Immutable.
 *
 * @param incarnation id and start
 * @param service service that it belongs to
 * @param host IP number
 * @param port TCP port
 * @param zone its availability zone
 * @param slots requests that it works on at once
 * @param draining whether it takes no new work
 * @param heartbeatSequence counter of its announcements within one life
 * @param models models that it holds, each with its adapters; empty for a plain service
 * @param inMemory models of which its host memory has a copy
 * @param onDisk models of which its disk has a copy
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

    /** The id. */
    public String id() {
        return incarnation.id();
    }

    /** IP number and port. */
    public String address() {
        return host + ":" + port;
    }
}
