package org.cornelway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cornelway.config.Configuration;
import org.cornelway.config.ModelRule;
import org.cornelway.config.Preset;

/**
 * Computes the next placement document from the current one.
 *
 * <p>A slot is bound to another server only after the previous server has confirmed the unload or
 * is gone. Bindings that are still valid do not move. Stateless and thread-safe.
 */
public final class PlacementPlanner implements Planner {
    private static final Comparator<SlotBinding> BY_MODEL_AND_SLOT =
            Comparator.comparing(SlotBinding::model).thenComparingInt(SlotBinding::slot);

    private final PlacementPolicy mPolicy;

    /**
     * @param policy chooses the server of each free slot
     */
    public PlacementPlanner(PlacementPolicy policy) {
        mPolicy = policy;
    }

    @Override
    public Optional<PlacementDocument> plan(
            PlacementDocument current,
            Configuration configuration,
            List<ServerView> servers,
            Set<UnloadConfirmation> confirmations,
            String holder) {
        Map<String, ServerView> serversById = new TreeMap<>();
        servers.forEach(server -> serversById.put(server.id(), server));
        List<SlotBinding> bindings =
                retainedBindings(
                        current.bindings(), configuration.preset(), serversById, confirmations);
        bindFreeSlots(bindings, configuration.preset(), serversById);
        bindings.sort(BY_MODEL_AND_SLOT);
        boolean isUnchanged =
                bindings.equals(current.bindings())
                        && current.configurationVersion() == configuration.version();
        if (isUnchanged) {
            return Optional.empty();
        }
        return Optional.of(
                new PlacementDocument(
                        current.shard(),
                        current.fencingNumber() + 1,
                        holder,
                        configuration.version(),
                        bindings));
    }

    /**
     * Returns the bindings without those whose server is gone or has confirmed the unload. The
     * others are marked as active or as being released, depending on whether they are still valid.
     */
    private static List<SlotBinding> retainedBindings(
            List<SlotBinding> bindings,
            Preset preset,
            Map<String, ServerView> servers,
            Set<UnloadConfirmation> confirmations) {
        Map<String, ModelRule> rules = rulesByModel(preset);
        List<SlotBinding> retained = new ArrayList<>();
        for (SlotBinding binding : bindings) {
            ServerView server = servers.get(binding.server());
            boolean isUnloadConfirmed =
                    binding.releasing()
                            && confirmations.contains(
                                    new UnloadConfirmation(binding.model(), binding.server()));
            if (server == null || isUnloadConfirmed) {
                continue;
            }
            ModelRule rule = rules.get(binding.model());
            boolean isStillValid =
                    rule != null && binding.slot() < rule.limit() && !server.leaving();
            retained.add(
                    isStillValid
                            ? binding.toActive(binding.slot() < rule.warm())
                            : binding.toReleasing());
        }
        return retained;
    }

    /**
     * Binds the free slots for which the policy finds a server: the first slot of each model before
     * the second slot of any model, and within that order larger models first.
     */
    private void bindFreeSlots(
            List<SlotBinding> bindings, Preset preset, Map<String, ServerView> servers) {
        Map<String, ServerAllocation> allocations = allocations(bindings, preset, servers);
        List<ModelRule> largestFirst = new ArrayList<>(preset.models());
        largestFirst.sort(
                Comparator.comparingLong((ModelRule rule) -> -rule.bytes())
                        .thenComparing(ModelRule::name));
        Map<String, Set<String>> serversByModel = serversByModel(bindings);
        Map<String, Set<Integer>> slotsByModel = slotsByModel(bindings);
        int maxSlots = preset.models().stream().mapToInt(ModelRule::limit).max().orElse(0);
        for (int slot = 0; slot < maxSlots; slot++) {
            for (ModelRule rule : largestFirst) {
                Set<Integer> boundSlots = slotsByModel.getOrDefault(rule.name(), Set.of());
                if (slot < rule.limit() && !boundSlots.contains(slot)) {
                    Set<String> boundServers =
                            serversByModel.computeIfAbsent(rule.name(), name -> new HashSet<>());
                    bind(bindings, rule, slot, boundServers, allocations);
                }
            }
        }
    }

    private void bind(
            List<SlotBinding> bindings,
            ModelRule rule,
            int slot,
            Set<String> boundServers,
            Map<String, ServerAllocation> allocations) {
        List<ServerAllocation> candidates =
                allocations.values().stream()
                        .filter(allocation -> !allocation.server().leaving())
                        .filter(allocation -> allocation.server().memoryBytes() >= rule.bytes())
                        .filter(allocation -> !boundServers.contains(allocation.server().id()))
                        .toList();
        Map<String, Integer> replicasByZone = new HashMap<>();
        for (String server : boundServers) {
            ServerAllocation allocation = allocations.get(server);
            if (allocation != null) {
                replicasByZone.merge(allocation.server().zone(), 1, Integer::sum);
            }
        }
        candidates.forEach(
                allocation ->
                        allocation.setZoneReplicas(
                                replicasByZone.getOrDefault(allocation.server().zone(), 0)));
        boolean warm = slot < rule.warm();
        Optional<ServerAllocation> chosen = mPolicy.choose(rule, warm, candidates);
        chosen.ifPresent(
                allocation -> {
                    allocation.bind(rule.bytes(), warm);
                    boundServers.add(allocation.server().id());
                    bindings.add(
                            new SlotBinding(
                                    rule.name(), slot, allocation.server().id(), warm, false));
                });
    }

    private static Map<String, ServerAllocation> allocations(
            List<SlotBinding> bindings, Preset preset, Map<String, ServerView> servers) {
        Map<String, ModelRule> rules = rulesByModel(preset);
        Map<String, ServerAllocation> allocations = new TreeMap<>();
        servers.forEach((id, server) -> allocations.put(id, new ServerAllocation(server)));
        for (SlotBinding binding : bindings) {
            ModelRule rule = rules.get(binding.model());
            if (rule != null) {
                allocations.get(binding.server()).bind(rule.bytes(), binding.warm());
            }
        }
        return allocations;
    }

    private static Map<String, Set<String>> serversByModel(List<SlotBinding> bindings) {
        Map<String, Set<String>> servers = new HashMap<>();
        for (SlotBinding binding : bindings) {
            servers.computeIfAbsent(binding.model(), name -> new HashSet<>()).add(binding.server());
        }
        return servers;
    }

    private static Map<String, Set<Integer>> slotsByModel(List<SlotBinding> bindings) {
        Map<String, Set<Integer>> slots = new HashMap<>();
        for (SlotBinding binding : bindings) {
            slots.computeIfAbsent(binding.model(), name -> new HashSet<>()).add(binding.slot());
        }
        return slots;
    }

    private static Map<String, ModelRule> rulesByModel(Preset preset) {
        Map<String, ModelRule> rules = new HashMap<>();
        preset.models().forEach(rule -> rules.put(rule.name(), rule));
        return rules;
    }
}
