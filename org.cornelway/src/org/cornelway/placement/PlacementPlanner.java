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
 * <p>A slot is bound anew only after its old server confirmed the unload or is gone. Bindings that
 * still fit stay where they are. Stateless and thread-safe.
 */
public final class PlacementPlanner implements Planner {
    private static final Comparator<SlotBinding> ORDER =
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
            Set<UnloadConfirmation> releases,
            String holder) {
        Map<String, ServerView> byId = new TreeMap<>();
        servers.forEach(server -> byId.put(server.id(), server));
        List<SlotBinding> bindings =
                keep(current.bindings(), configuration.preset(), byId, releases);
        bindFreeSlots(bindings, configuration.preset(), byId);
        bindings.sort(ORDER);
        boolean same =
                bindings.equals(current.bindings())
                        && current.configurationVersion() == configuration.version();
        if (same) {
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

    private static List<SlotBinding> keep(
            List<SlotBinding> bindings,
            Preset preset,
            Map<String, ServerView> servers,
            Set<UnloadConfirmation> releases) {
        Map<String, ModelRule> rules = rules(preset);
        List<SlotBinding> kept = new ArrayList<>();
        for (SlotBinding binding : bindings) {
            ServerView server = servers.get(binding.server());
            boolean confirmed =
                    binding.releasing()
                            && releases.contains(
                                    new UnloadConfirmation(binding.model(), binding.server()));
            if (server == null || confirmed) {
                continue;
            }
            ModelRule rule = rules.get(binding.model());
            boolean wanted = rule != null && binding.slot() < rule.limit() && !server.leaving();
            kept.add(wanted ? binding.toHeld(binding.slot() < rule.warm()) : binding.toReleasing());
        }
        return kept;
    }

    private void bindFreeSlots(
            List<SlotBinding> bindings, Preset preset, Map<String, ServerView> servers) {
        Map<String, ServerAllocation> loads = loads(bindings, preset, servers);
        List<ModelRule> order = new ArrayList<>(preset.models());
        order.sort(
                Comparator.comparingLong((ModelRule rule) -> -rule.bytes())
                        .thenComparing(ModelRule::name));
        Map<String, Set<String>> holders = holders(bindings);
        Map<String, Set<Integer>> slots = slots(bindings);
        int mostSlots = preset.models().stream().mapToInt(ModelRule::limit).max().orElse(0);
        for (int slot = 0; slot < mostSlots; slot++) {
            for (ModelRule rule : order) {
                Set<Integer> taken = slots.getOrDefault(rule.name(), Set.of());
                if (slot < rule.limit() && !taken.contains(slot)) {
                    Set<String> held =
                            holders.computeIfAbsent(rule.name(), name -> new HashSet<>());
                    bind(bindings, rule, slot, held, loads);
                }
            }
        }
    }

    private void bind(
            List<SlotBinding> bindings,
            ModelRule rule,
            int slot,
            Set<String> holders,
            Map<String, ServerAllocation> loads) {
        List<ServerAllocation> candidates =
                loads.values().stream()
                        .filter(load -> !load.server().leaving())
                        .filter(load -> load.server().memoryBytes() >= rule.bytes())
                        .filter(load -> !holders.contains(load.server().id()))
                        .toList();
        Map<String, Integer> zones = new HashMap<>();
        for (String holder : holders) {
            ServerAllocation load = loads.get(holder);
            if (load != null) {
                zones.merge(load.server().zone(), 1, Integer::sum);
            }
        }
        candidates.forEach(
                load -> load.setZoneReplicas(zones.getOrDefault(load.server().zone(), 0)));
        boolean warm = slot < rule.warm();
        Optional<ServerAllocation> chosen = mPolicy.choose(rule, warm, candidates);
        chosen.ifPresent(
                load -> {
                    load.bind(rule.bytes(), warm);
                    holders.add(load.server().id());
                    bindings.add(
                            new SlotBinding(rule.name(), slot, load.server().id(), warm, false));
                });
    }

    private static Map<String, ServerAllocation> loads(
            List<SlotBinding> bindings, Preset preset, Map<String, ServerView> servers) {
        Map<String, ModelRule> rules = rules(preset);
        Map<String, ServerAllocation> loads = new TreeMap<>();
        servers.forEach((id, server) -> loads.put(id, new ServerAllocation(server)));
        for (SlotBinding binding : bindings) {
            ModelRule rule = rules.get(binding.model());
            if (rule != null) {
                loads.get(binding.server()).bind(rule.bytes(), binding.warm());
            }
        }
        return loads;
    }

    private static Map<String, Set<String>> holders(List<SlotBinding> bindings) {
        Map<String, Set<String>> holders = new HashMap<>();
        for (SlotBinding binding : bindings) {
            holders.computeIfAbsent(binding.model(), name -> new HashSet<>()).add(binding.server());
        }
        return holders;
    }

    private static Map<String, Set<Integer>> slots(List<SlotBinding> bindings) {
        Map<String, Set<Integer>> slots = new HashMap<>();
        for (SlotBinding binding : bindings) {
            slots.computeIfAbsent(binding.model(), name -> new HashSet<>()).add(binding.slot());
        }
        return slots;
    }

    private static Map<String, ModelRule> rules(Preset preset) {
        Map<String, ModelRule> rules = new HashMap<>();
        preset.models().forEach(rule -> rules.put(rule.name(), rule));
        return rules;
    }
}
