package org.cornelway.placement;

/**
 * Binds one of a model's slots to one backend server. Immutable.
 *
 * @param model the model
 * @param slot index of the slot, from 0
 * @param server instance id of the backend server
 * @param warm whether the replica is kept loaded
 * @param releasing whether the backend server must unload the model and confirm it
 */
public record SlotBinding(String model, int slot, String server, boolean warm, boolean releasing) {
    /** Returns the same binding, marked as being released and no longer kept loaded. */
    public SlotBinding toReleasing() {
        return new SlotBinding(model, slot, server, false, true);
    }

    /** Returns the same binding, not marked as being released and with the given warm flag. */
    public SlotBinding toActive(boolean isWarm) {
        return new SlotBinding(model, slot, server, isWarm, false);
    }
}
