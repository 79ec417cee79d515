package org.cornelway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.config.PresetIndex;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.SlotBinding;
import org.cornelway.platform.Member;

/** Snapshot of the state that routing decisions are based on. Immutable. */
public final class RoutingView {
    private final Optional<PresetIndex> mPreset;
    private final Map<String, List<Member>> mAgentsByModel = new HashMap<>();
    private final Map<String, List<Member>> mAgentsByService = new HashMap<>();
    private final Map<String, Member> mMembers;

    /**
     * @param preset the preset in force; empty if none is known
     * @param placement the slots that are bound to models
     * @param members the members by instance id
     */
    public RoutingView(
            Optional<PresetIndex> preset,
            PlacementDocument placement,
            Map<String, Member> members) {
        mPreset = preset;
        mMembers = members;
        for (SlotBinding binding : placement.bindings()) {
            Member member = members.get(binding.server());
            if (member != null && !member.leaving() && !binding.releasing()) {
                mAgentsByModel
                        .computeIfAbsent(binding.model(), model -> new ArrayList<>())
                        .add(member);
            }
        }
        for (Member member : members.values()) {
            if (Member.KIND_PLAIN.equals(member.kind()) && !member.leaving()) {
                mAgentsByService
                        .computeIfAbsent(member.service(), service -> new ArrayList<>())
                        .add(member);
            }
        }
    }

    /** Returns a view without a preset and without members. */
    public static RoutingView empty() {
        return new RoutingView(Optional.empty(), PlacementDocument.empty(0), Map.of());
    }

    /** Returns the preset in force; empty if none is known. */
    public Optional<PresetIndex> preset() {
        return mPreset;
    }

    /**
     * Returns the agents that may take a request; the agents of a model are in the order of its
     * slots. The list is empty if no agent may take it.
     */
    public List<Member> agents(RoutingTarget target) {
        return target.isModel()
                ? mAgentsByModel.getOrDefault(target.model(), List.of())
                : mAgentsByService.getOrDefault(target.service(), List.of());
    }

    /** Returns all members by instance id. */
    public Map<String, Member> members() {
        return mMembers;
    }
}
