package org.cornelway.admin;

import java.util.List;

/**
 * What one process says of itself. Immutable.
 *
 * @param instance instance id
 * @param role its role
 * @param reachable whether it answered
 * @param configurationRevision revision of the configuration that it applied
 * @param placementFencingNumber number of the placement that it applied
 * @param models models held, as {@code name} and state
 * @param capacityBytes engine memory, 0 if none
 * @param reservedBytes engine memory reserved
 * @param active requests running
 * @param waiting requests waiting
 * @param oldestDeadlineMillis earliest deadline of waiting work, 0 if none waits
 * @param leaving whether it takes no new work
 * @param controller whether it holds the controller's lease
 * @param controllerLeaseAgeMillis age of that lease
 * @param keyValueServiceUp whether its last call to the key-value service was answered
 * @param slow whether its backend server is slow
 */
public record ProcessStatus(
        String instance,
        String role,
        boolean reachable,
        long configurationRevision,
        long placementFencingNumber,
        List<ModelLine> models,
        long capacityBytes,
        long reservedBytes,
        int active,
        int waiting,
        long oldestDeadlineMillis,
        boolean leaving,
        boolean controller,
        long controllerLeaseAgeMillis,
        boolean keyValueServiceUp,
        boolean slow) {
    /**
     * One model at one process. Immutable.
     *
     * @param model the model
     * @param state its state
     */
    public record ModelLine(String model, String state) {}
}
