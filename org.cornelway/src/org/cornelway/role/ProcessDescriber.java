package org.cornelway.role;

import java.util.Optional;
import org.cornelway.agent.AgentCore;
import org.cornelway.agent.WorkHandler;
import org.cornelway.controller.PlacementController;
import org.cornelway.memory.MemoryLedger;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.residency.ModelStatus;
import org.cornelway.residency.Residency;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.ModelState;

/**
 * Builds the description of this process that peers can request. Confined to the control thread.
 */
final class ProcessDescriber {
    private final CommonComponents mCommon;

    ProcessDescriber(CommonComponents commonComponents) {
        mCommon = commonComponents;
    }

    /** Returns a description with the fields that agents and entries have in common. */
    DescribeReply.Builder describeCommon(String role) {
        return DescribeReply.newBuilder()
                .setInstance(mCommon.members().selfId())
                .setRole(role)
                .setConfigurationRevision(mCommon.cache().revision(DocumentKeys.CONFIGURATION))
                .setPlacementRevision(mCommon.cache().revision(DocumentKeys.PLACEMENT))
                .setKeyValueServiceUp(mCommon.store().isUp());
    }

    /**
     * Returns the description of an agent.
     *
     * @param residency models on the agent's engine; empty for a plain service
     * @param ledger memory of the agent's engine; empty for a plain service
     */
    DescribeReply describeAgent(
            AgentCore core,
            Optional<Residency> residency,
            Optional<MemoryLedger> ledger,
            PlacementController controller) {
        WorkHandler handler = core.handler();
        DescribeReply.Builder reply =
                describeCommon("agent")
                        .setActive(handler.runningCount())
                        .setWaiting(handler.waitingCount())
                        .setOldestDeadlineMillis(handler.earliestDeadlineMillis())
                        .setLeaving(core.isLeaving())
                        .setHoldsControllerLease(controller.lease().isHeld())
                        .setControllerLeaseAgeMillis(controller.lease().ageMillis());
        handler.heldModels().forEach(model -> reply.addModels(toModelState(model)));
        residency.ifPresent(
                r ->
                        reply.setRecovered(r.isRecovered())
                                .setPlacementFencingNumber(r.fencingNumber()));
        ledger.ifPresent(
                l -> reply.setCapacityBytes(l.capacityBytes()).setReservedBytes(l.reservedBytes()));
        return reply.build();
    }

    private static ModelState toModelState(ModelStatus model) {
        return ModelState.newBuilder()
                .setModel(model.model())
                .setState(model.phase().name())
                .setBytes(model.bytes())
                .setBusy(model.active() > 0)
                .build();
    }
}
