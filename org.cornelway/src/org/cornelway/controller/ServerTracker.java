package org.cornelway.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cornelway.placement.ServerView;
import org.cornelway.platform.Member;

/**
 * Distinguishes a server that is gone from one that is missing from the member list only briefly.
 *
 * <p>A server counts as gone after it was absent from {@link #ABSENT_READS} consecutive reads;
 * until then it keeps its slots. Not thread-safe; confined to the control thread.
 */
public final class ServerTracker {
    /** Number of consecutive reads without a server after which it counts as gone. */
    public static final int ABSENT_READS = 3;

    private final Map<String, ServerView> mLastSeen = new HashMap<>();
    private final Map<String, Integer> mAbsentReads = new HashMap<>();

    /**
     * Applies one read of the member list.
     *
     * @param boundServers ids of the servers that hold slots
     * @return the model servers in the list, and the bound servers that do not yet count as gone; a
     *     bound server that was never in the list has an empty zone and 0 bytes of memory
     */
    public List<ServerView> update(Map<String, Member> members, Set<String> boundServers) {
        Map<String, ServerView> views = new TreeMap<>();
        for (Member member : members.values()) {
            if (member.isModelAgent()) {
                ServerView view =
                        new ServerView(
                                member.id(), member.zone(), member.memoryBytes(), member.leaving());
                views.put(member.id(), view);
                mLastSeen.put(member.id(), view);
                mAbsentReads.remove(member.id());
            }
        }
        for (String server : boundServers) {
            boolean isAbsent = !views.containsKey(server);
            if (isAbsent && mAbsentReads.merge(server, 1, Integer::sum) < ABSENT_READS) {
                ServerView neverSeen = new ServerView(server, "", 0, false);
                views.put(server, mLastSeen.getOrDefault(server, neverSeen));
            }
        }
        return new ArrayList<>(views.values());
    }
}
