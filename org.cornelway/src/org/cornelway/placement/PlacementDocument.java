package org.cornelway.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.invariant.Invariants;

/**
 * The persisted placement of one shard. Immutable.
 *
 * <p>Invariant: each slot of a model is bound once, and never two slots of a model to one server.
 *
 * @param shard the shard's number
 * @param fencingNumber rises by one with each written document
 * @param holder instance id of the controller that wrote it
 * @param configurationVersion version of the configuration that it carries out
 * @param bindings the bindings, ordered by model and slot
 */
public record PlacementDocument(
        int shard,
        long fencingNumber,
        String holder,
        long configurationVersion,
        List<SlotBinding> bindings) {
    /** Copies the list. */
    public PlacementDocument {
        bindings = List.copyOf(bindings);
    }

    /** The document before the first one. */
    public static PlacementDocument empty(int shard) {
        return new PlacementDocument(shard, 0, "", 0, List.of());
    }

    /** The bindings of a model that may serve. */
    public List<SlotBinding> activeBindings(String model) {
        return bindings.stream().filter(b -> b.model().equals(model) && !b.releasing()).toList();
    }

    /** The binding of a model to a server. */
    public Optional<SlotBinding> binding(String model, String server) {
        return bindings.stream()
                .filter(b -> b.model().equals(model) && b.server().equals(server))
                .findFirst();
    }

    /** Asserts the class invariant. */
    public void check(Invariants invariants) {
        Set<String> slots = new HashSet<>();
        Set<String> servers = new HashSet<>();
        for (SlotBinding binding : bindings) {
            invariants.check(
                    slots.add(binding.model() + "/" + binding.slot()),
                    "slot " + binding.slot() + " of model " + binding.model() + " is bound twice");
            invariants.check(
                    servers.add(binding.model() + "/" + binding.server()),
                    "model " + binding.model() + " is bound twice to " + binding.server());
        }
    }
}
