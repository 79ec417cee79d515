package org.cornelway.relay;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.platform.Member;

/**
 * The members of the system, as of the last update.
 *
 * <p>Thread-safe; readers get immutable snapshots.
 */
public final class MemberTable {
    private final String mSelf;

    /** Ranked ids of the members, by purpose and role; cleared when the members change. */
    private final Map<String, List<String>> mRankings = new ConcurrentHashMap<>();

    private final BehaviorProcessor<Map<String, Member>> mMembers =
            BehaviorProcessor.createDefault(Map.of());

    /**
     * @param self this process's instance id
     */
    public MemberTable(String self) {
        mSelf = self;
    }

    /** Replaces the members if the list differs from the current one. */
    public void update(List<Member> members) {
        Map<String, Member> byId = new TreeMap<>();
        members.forEach(member -> byId.put(member.id(), member));
        if (!byId.equals(all())) {
            mRankings.clear();
            mMembers.onNext(byId);
        }
    }

    /** This process's instance id. */
    public String selfId() {
        return mSelf;
    }

    /** All members by instance id. */
    public Map<String, Member> all() {
        return mMembers.getValue();
    }

    /** Emits the current members, and the new ones after each update. */
    public Flowable<Map<String, Member>> updates() {
        return mMembers.onBackpressureLatest();
    }

    /** The member with an instance id; empty if there is none. */
    public Optional<Member> find(String id) {
        return Optional.ofNullable(all().get(id));
    }

    /** All members except this process. */
    public List<Member> peers() {
        return all().values().stream().filter(member -> !member.id().equals(mSelf)).toList();
    }

    /** Whether the platform is removing the instance of this process. */
    public boolean isSelfLeaving() {
        return find(mSelf).map(Member::leaving).orElse(false);
    }

    /**
     * Whether this process is among the members selected for a purpose. The members are ranked by a
     * hash of their id and the purpose, so that all processes select the same ones without
     * communication. Members that are leaving are not selected.
     *
     * @param purpose name of the purpose; each purpose has its own ranking
     * @param count number of members selected
     * @param role role that the members must have; any role if empty
     */
    public boolean isSelfSelected(String purpose, int count, Optional<String> role) {
        List<String> ranking =
                mRankings.computeIfAbsent(
                        purpose + "/" + role.orElse(""), key -> ranking(purpose, role));
        return ranking.subList(0, Math.min(count, ranking.size())).contains(mSelf);
    }

    private List<String> ranking(String purpose, Optional<String> role) {
        Map<Long, String> byWeight = new TreeMap<>();
        for (Member member : all().values()) {
            boolean eligible = role.isEmpty() || member.role().equals(role.get());
            if (eligible && !member.leaving()) {
                byWeight.put(RendezvousHash.weight(member.id(), purpose), member.id());
            }
        }
        return List.copyOf(byWeight.values());
    }
}
