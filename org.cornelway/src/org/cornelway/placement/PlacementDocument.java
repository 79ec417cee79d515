package org.cornelway.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelway.invariant.Invariants;

/**
 * The persisted placement of one shard. Immutable.
 *
 * <p>Invariant: each slot of a model is bound at most once, and no server holds two slots of the
 * same model.
 *
 * @param shard the shard's number
 * @param fencingNumber increases by one with each document written
 * @param holder instance id of the controller that wrote it
 * @param configurationVersion version of the configuration that it implements
 * @param bindings the bindings, ordered by model and slot
 */
public record PlacementDocument(
        int shard,
        long fencingNumber,
        String holder,
        long configurationVersion,
        List<SlotBinding> bindings) {
    /** Copies the list of bindings. */
    public PlacementDocument {
        bindings = List.copyOf(bindings);
    }

    /** Returns the empty document that precedes the first one. */
    public static PlacementDocument empty(int shard) {
        return new PlacementDocument(shard, 0, "", 0, List.of());
    }

    /** Returns the bindings of a model that are not being released. */
    public List<SlotBinding> activeBindings(String model) {
        return bindings.stream().filter(b -> b.model().equals(model) && !b.releasing()).toList();
    }

    /** Returns the binding of a model to a server, if there is one. */
    public Optional<SlotBinding> binding(String model, String server) {
        return bindings.stream()
                .filter(b -> b.model().equals(model) && b.server().equals(server))
                .findFirst();
    }

    /** Checks the invariant of this class. */
    public void checkInvariants(Invariants invariants) {
        Set<String> slots = new HashSet<>();
        Set<String> servers = new HashSet<>();
        for (SlotBinding binding : bindings) {
            invariants.check(
                    slots.add(binding.model() + "/" + binding.slot()),
                    "slot " + binding.slot() + " of model " + binding.model() + " is bound twice");
            invariants.check(
                    servers.add(binding.model() + "/" + binding.server()),
                    "model " + binding.model() + " is bound twice to server " + binding.server());
        }
    }
}
