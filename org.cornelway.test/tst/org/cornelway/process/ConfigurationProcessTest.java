package org.cornelway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.DemoPresets;
import org.cornelway.bench.LoopbackHttpClient;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.result.ResultCode;
import org.testng.annotations.Test;

/**
 * Tests preset switches by concurrent operators and during failures of the key-value service, and
 * that the administration API requires its token.
 */
public final class ConfigurationProcessTest extends ProcessTestBase {
    /**
     * Whether the entry that reports the status holds a configuration of at least this version, and
     * all processes have applied the revision that it holds.
     */
    private boolean isAppliedEverywhere(long version) {
        JsonNode status = status();
        long revision = status.path("configurationRevision").asLong();
        if (status.path("configurationVersion").asLong() < version) {
            return false;
        }
        for (JsonNode process : status.path("processes")) {
            if (process.path("configurationRevision").asLong() < revision) {
                return false;
            }
        }
        return true;
    }

    @Test
    public void acceptedSwitchReachesAllProcessesDuringStoreOutage() {
        fleet().activatePreset("peak", DemoPresets.toJson(DemoPresets.preset("peak", 4, 2, 2)));
        injectFault(fleet().keyValueServicePort(), "{\"outage\":true}");
        ProcessFleet.await("version 2 in all processes", () -> isAppliedEverywhere(2));
        fleet().kill(ProcessFleet.agentId(4));
        fleet().startAgent(4);
        fleet().kill(ProcessFleet.entryId(1));
        fleet().startEntry(1);
        ProcessFleet.await(
                "readiness of the restarted entry",
                () -> fleet().http().isOk(fleet().entryHttpPort(1), "/readyz"));
        ProcessFleet.await("version 2 after restarts", () -> isAppliedEverywhere(2));
        assertCompleteResponse(requestCompletion(1, "model-0", 8), 8);
        Response rejected = fleet().callAdminApi(0, "POST", "/switch", "{\"preset\":\"ordinary\"}");
        assertThat(rejected.status()).isIn(503, 504);
        injectFault(fleet().keyValueServicePort(), "{}");
        assertThat(fleet().callAdminApi(1, "GET", "/history", "").body()).contains("peak@1");
    }

    @Test
    public void rejectedSwitchNamesTheAuthorOfTheConcurrentSwitch() {
        String switchRequest = "{\"preset\":\"ordinary\",\"expectVersion\":1}";
        LoopbackHttpClient.Header token =
                new LoopbackHttpClient.Header(
                        "Authorization", "Bearer " + ProcessFleet.OPERATOR_TOKEN);
        List<CompletableFuture<Response>> switches =
                List.of(
                        fleet().http()
                                .send(
                                        "POST",
                                        fleet().entryHttpPort(0),
                                        "/admin/v1/switch",
                                        switchRequest,
                                        token,
                                        new LoopbackHttpClient.Header("X-Author", "ann")),
                        fleet().http()
                                .send(
                                        "POST",
                                        fleet().entryHttpPort(1),
                                        "/admin/v1/switch",
                                        switchRequest,
                                        token,
                                        new LoopbackHttpClient.Header("X-Author", "bob")));
        List<Response> responses = switches.stream().map(CompletableFuture::join).toList();
        assertThat(responses).filteredOn(response -> response.status() == OK).hasSize(1);
        String acceptedAuthor = responses.get(0).status() == OK ? "ann" : "bob";
        Response rejected = responses.get(0).status() == OK ? responses.get(1) : responses.get(0);
        assertThat(rejected.status()).isEqualTo(ResultCode.REVISION_CONFLICT.httpStatus());
        assertThat(rejected.body()).contains(acceptedAuthor);
    }

    @Test
    public void appliedSwitchIsNotReportedAsNotRunWhenStoreResponseIsLost() {
        injectFault(fleet().keyValueServicePort(), "{\"answersLost\":true}");
        Response response = fleet().callAdminApi(0, "POST", "/switch", "{\"preset\":\"ordinary\"}");
        assertThat(response.status()).isNotEqualTo(OK);
        injectFault(fleet().keyValueServicePort(), "{}");
        long version =
                json(fleet().callAdminApi(0, "GET", "/configuration", "").body())
                        .path("version")
                        .asLong();
        boolean reportedNotRun = json(response.body()).path("error").path("notRun").asBoolean();
        assertThat(reportedNotRun && version > 1).isFalse();
    }

    @Test
    public void administrationApiRequiresTheToken() {
        Response response =
                fleet().http().call("GET", fleet().entryHttpPort(0), "/admin/v1/configuration", "");
        assertThat(response.status()).isEqualTo(ResultCode.UNAUTHENTICATED.httpStatus());
    }
}
