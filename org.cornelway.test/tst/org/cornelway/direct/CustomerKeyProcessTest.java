package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.PlatformStoreStandin.Fault;
import org.testng.annotations.Test;

/** Tests that entries check customers' keys by the newest configuration that they can know. */
public class CustomerKeyProcessTest extends DirectTestBase {
    private static final String OLD_KEY = "k-3f1c-old";
    private static final String NEW_KEY = "k-8a72-new";
    private static final String NAME = "acme";
    private static final int UNAUTHORIZED = 401;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    @Override
    int entryCount() {
        return 2;
    }

    @Override
    void prepareFleet(DirectFleet fleet) {
        setKeys(fleet, OLD_KEY);
    }

    private static void setKeys(DirectFleet fleet, String... keys) {
        fleet.customers().removeAll();
        ArrayNode list = fleet.customers().addObject().put("Name", NAME).putArray("ApiKeys");
        for (String key : keys) {
            list.add(key);
        }
        fleet.configure();
    }

    private int status(int entry, String key) {
        Response response =
                fleet().http()
                        .call(
                                "POST",
                                fleet().frontPort(entry),
                                "/unsafe/a",
                                "b",
                                new Header("Host", DirectFleet.HOST),
                                new Header("X-Request-Id", newRequestId()),
                                new Header("Authorization", "Bearer " + key));
        return response.status();
    }

    private static String callOn(RawCall connection) throws IOException {
        connection.sendHead(
                "/unsafe/a",
                newRequestId(),
                "Authorization: Bearer " + OLD_KEY + "\r\nContent-Length: 0\r\n");
        return connection.readResponse().orElseThrow();
    }

    private void assertNoKeyInLogs() {
        for (int entry = 0; entry < entryCount(); entry++) {
            try {
                assertThat(Files.readString(fleet().logFile(entry)))
                        .doesNotContain(OLD_KEY)
                        .doesNotContain(NEW_KEY);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Guards against a key that stays valid on connections that were opened with it. */
    @Test
    public void removedKeyIsRefusedOnOpenConnection() throws IOException {
        try (RawCall connection = new RawCall(fleet().frontPort(0), READ_TIMEOUT_MILLIS)) {
            assertThat(callOn(connection)).startsWith("HTTP/1.1 200");
            setKeys(fleet(), NEW_KEY);
            for (int entry = 0; entry < entryCount(); entry++) {
                int each = entry;
                ProcessFleet.await("new key at entry " + each, () -> status(each, NEW_KEY) == OK);
            }
            assertThat(callOn(connection)).startsWith("HTTP/1.1 401");
        }
        assertThat(status(1, OLD_KEY)).isEqualTo(UNAUTHORIZED);
        for (String server : new String[] {"p1", "p2"}) {
            assertThat(fleet().backendServer(server).receivedCalls())
                    .allMatch(call -> NAME.equals(call.headers().get("x-tenant")))
                    .noneMatch(call -> call.headers().containsKey("authorization"));
        }
        assertNoKeyInLogs();
        assertThat(Files.readString(fleet().logFile(0))).contains("customer=" + NAME);
    }

    /** Guards against an entry that knows no keys, or checks none, until the store is back. */
    @Test
    public void entryRestartedWithoutStoreChecksKeys() {
        assertThat(status(1, OLD_KEY)).isEqualTo(OK);
        fleet().signal(1, "KILL");
        fleet().entryProcess(1).onExit().join();
        fleet().store().injectFault(Fault.UNAVAILABLE);
        fleet().startEntry(1);
        fleet().awaitReady(1);
        assertThat(status(1, OLD_KEY)).isEqualTo(OK);
        assertThat(status(1, NEW_KEY)).isEqualTo(UNAUTHORIZED);
        assertNoKeyInLogs();
    }

    /** Guards against a key in the log, and calls without a check, after a faulty configuration. */
    @Test
    public void malformedConfigurationLeavesKeysInForce() throws IOException {
        String malformed = "{\"Version\":900,\"Routes\":[],\"Tenants\":[{\"ApiKeys\":[" + NEW_KEY;
        fleet().store()
                .withState(
                        state ->
                                state.put(
                                        "op/config",
                                        malformed.getBytes(StandardCharsets.UTF_8),
                                        0));
        ProcessFleet.await(
                "a refused configuration",
                () -> {
                    try {
                        return Files.readString(fleet().logFile(0)).contains("config.refused");
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
        assertThat(status(0, OLD_KEY)).isEqualTo(OK);
        assertThat(status(0, NEW_KEY)).isEqualTo(UNAUTHORIZED);
        assertNoKeyInLogs();
    }
}
