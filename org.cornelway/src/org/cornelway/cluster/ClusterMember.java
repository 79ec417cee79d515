package org.cornelway.cluster;

import org.cornelway.platform.Member;

/**
 * Registration of an entry in the key-value service. Immutable.
 *
 * @param id instance id of the entry
 * @param address host and port of its gRPC server
 * @param region region of the entry
 * @param zone availability zone of the entry
 * @param startedMillis start time of its process, in milliseconds since the epoch; distinguishes a
 *     restarted process from the previous one
 */
public record ClusterMember(
        String id, String address, String region, String zone, long startedMillis) {
    /** Converts the registration to a member that can be called. */
    public Member toMember() {
        return new Member(id, Member.ROLE_ENTRY, address, region, zone, false, "", "", 0);
    }
}
