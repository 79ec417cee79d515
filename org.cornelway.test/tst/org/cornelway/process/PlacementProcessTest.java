package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.DemoPresets;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.testng.annotations.Test;

/**
 * Tests that calls complete although the controller is killed or frozen, agents are killed, or an
 * instance is leaving or is removed from the instance list. Most tests also check that no model
 * exceeds its replica limit and no engine its memory.
 */
public final class PlacementProcessTest extends ProcessTestBase {
    private static final int MAX_REPLICAS = 2;
    private static final int MODEL_COUNT = 4;

    /**
     * Returns the id of the instance that is the controller, or the empty string if there is none.
     */
    private String controllerInstance() {
        for (JsonNode process : status().path("processes")) {
            if (process.path("controller").asBoolean()) {
                return process.path("instance").asText();
            }
        }
        return "";
    }

    /** Requests completions of all models concurrently and asserts that they are complete. */
    private void callAllModels(int entry) {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int model = 0; model < MODEL_COUNT; model++) {
            responses.add(
                    fleet().http()
                            .send(
                                    "POST",
                                    fleet().entryHttpPort(entry),
                                    "/v1/completions",
                                    completionBody("model-" + model, 4),
                                    timeoutHeader(40_000)));
        }
        responses.forEach(response -> assertCompleteResponse(response.join(), 4));
    }

    @Test
    public void killedControllerIsReplaced() {
        ProcessFleet.await("a controller", () -> !controllerInstance().isEmpty());
        String previous = controllerInstance();
        fleet().kill(previous);
        fleet().activatePreset(
                        "peak", DemoPresets.toJson(DemoPresets.preset("peak", MODEL_COUNT, 2, 2)));
        ProcessFleet.await(
                "another controller",
                () -> !controllerInstance().isEmpty() && !controllerInstance().equals(previous));
        fleet().startAgent(agentIndex(previous));
        ProcessFleet.await("two loaded replicas of model-0", () -> loadedReplicas("model-0") == 2);
        callAllModels(0);
        assertWithinLimits(MAX_REPLICAS);
    }

    @Test
    public void resumedControllerDoesNotOverrideItsSuccessor() {
        ProcessFleet.await("a controller", () -> !controllerInstance().isEmpty());
        String previous = controllerInstance();
        fleet().freeze(previous);
        fleet().activatePreset(
                        "peak", DemoPresets.toJson(DemoPresets.preset("peak", MODEL_COUNT, 2, 2)));
        ProcessFleet.await(
                "another controller",
                () -> !controllerInstance().isEmpty() && !controllerInstance().equals(previous));
        ProcessFleet.await(
                "the new placement", () -> status().path("placementFencingNumber").asLong() >= 2);
        fleet().resume(previous);
        ProcessFleet.await("two loaded replicas of model-0", () -> loadedReplicas("model-0") == 2);
        callAllModels(1);
        assertWithinLimits(MAX_REPLICAS);
    }

    @Test
    public void agentsKilledDuringLoadRecoverTheirStateFromTheEngines() {
        fleet().http().call("POST", fleet().checkpointStorePort(), "/speed", "{\"slowFactor\":3}");
        CompletableFuture<Response> firstResponse =
                fleet().http()
                        .send(
                                "POST",
                                fleet().entryHttpPort(0),
                                "/v1/completions",
                                completionBody("model-1", 8),
                                timeoutHeader(40_000));
        ProcessFleet.await(
                "the load of model-1 to start",
                () -> replicaReport().path("now").path("model-1").asInt() == 1);
        for (int i = 0; i < fleetSize().engines(); i++) {
            fleet().kill(ProcessFleet.agentId(i));
        }
        for (int i = 0; i < fleetSize().engines(); i++) {
            fleet().startAgent(i);
        }
        assertCompleteResponse(firstResponse.join(), 8);
        callAllModels(1);
        assertWithinLimits(MAX_REPLICAS);
    }

    @Test
    public void slotsOfLeavingServerMoveToOtherServers() {
        String leaving = instanceWithModel("model-0");
        fleet().markLeaving(agentIndex(leaving));
        ProcessFleet.await(
                "the slots of the leaving server to move",
                () -> {
                    for (JsonNode model : status().path("models")) {
                        boolean stillPlaced =
                                model.path("slots").toString().contains(leaving)
                                        || model.path("where").toString().contains(leaving);
                        if (stillPlaced) {
                            return false;
                        }
                    }
                    return true;
                });
        ProcessFleet.await(
                "a loaded replica on another server", () -> loadedReplicas("model-0") == 1);
        callAllModels(0);
        assertWithinLimits(MAX_REPLICAS);
        // The exit status of a process that SIGTERM has ended: 128 plus 15, the signal's number.
        assertThat(fleet().terminate(leaving)).isEqualTo(143);
    }

    @Test
    public void leavingServerReceivesNoNewRequests() {
        String leaving = instanceWithModel("model-0");
        fleet().markLeaving(agentIndex(leaving));
        ProcessFleet.await(
                "the agent to become unready",
                () -> !fleet().http().isOk(fleet().agentHttpPort(agentIndex(leaving)), "/readyz"));
        long acceptedBefore =
                counterValue(fleet().agentHttpPort(agentIndex(leaving)), "agent.accepted");
        for (int i = 0; i < 10; i++) {
            assertCompleteResponse(requestCompletion(i % 2, "model-0", 4), 4);
        }
        assertThat(counterValue(fleet().agentHttpPort(agentIndex(leaving)), "agent.accepted"))
                .isEqualTo(acceptedBefore);
    }

    @Test
    public void slotsOfRemovedInstanceAreReassigned() {
        callAllModels(0);
        String removed = ProcessFleet.agentId(0);
        fleet().kill(removed);
        fleet().removeFromInstanceList(removed);
        ProcessFleet.await(
                "the slots of the removed instance to move",
                () -> !status().path("models").toString().contains(removed));
        callAllModels(1);
    }
}
