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
 * @param processorCores processor time that its instance gets, in cores of usual speed; 0 if an
 *     earlier version registered it
 */
public record ClusterMember(
        String id,
        String address,
        String region,
        String zone,
        long startedMillis,
        double processorCores) {
    /** Converts the registration to a member that can be called. */
    public Member toMember() {
        return new Member(id, Member.ROLE_ENTRY, address, region, zone, false, "", "", 0);
    }
}
