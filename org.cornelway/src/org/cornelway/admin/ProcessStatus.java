package org.cornelway.admin;

import java.util.List;

/**
 * Status of one process, from the member table and the process's own reply. Immutable.
 *
 * <p>If the process did not answer, the components that come from its reply are 0, false or empty.
 *
 * @param instance instance id
 * @param role role of the process
 * @param reachable whether the process answered
 * @param configurationRevision revision of the configuration that the process has applied
 * @param placementFencingNumber fencing number of the placement that the process has applied
 * @param models models that its engine holds
 * @param capacityBytes memory of its engine, 0 if it has none
 * @param reservedBytes engine memory that is reserved
 * @param active number of running requests
 * @param waiting number of waiting requests
 * @param oldestDeadlineMillis earliest deadline of the waiting requests in milliseconds since the
 *     epoch, 0 if none is waiting
 * @param leaving whether the process accepts no new requests
 * @param controller whether the process holds the controller lease
 * @param controllerLeaseAgeMillis milliseconds since the process acquired the controller lease, 0
 *     if it does not hold it or does not report this
 * @param keyValueServiceUp whether the process's last call to the key-value service was answered
 * @param slow whether the process reported its backend server as slow
 */
public record ProcessStatus(
        String instance,
        String role,
        boolean reachable,
        long configurationRevision,
        long placementFencingNumber,
        List<ReportedModel> models,
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
     * One model held by a process. Immutable.
     *
     * @param model name of the model
     * @param state name of its {@link org.cornelway.residency.ModelPhase}
     */
    public record ReportedModel(String model, String state) {}
}
