package org.cornelway.cluster;

import org.cornelway.platform.Member;

/**
 * An entry as it registers itself. Immutable.
 *
 * @param id its instance id
 * @param address host and port of its gRPC server
 * @param region its region
 * @param zone its availability zone
 * @param startedMillis start of its process; tells a process from the one before it
 */
public record ClusterMember(
        String id, String address, String region, String zone, long startedMillis) {
    /** The entry as a member that can be called. */
    public Member toMember() {
        return new Member(id, Member.ROLE_ENTRY, address, region, zone, false, "", "", 0);
    }
}
