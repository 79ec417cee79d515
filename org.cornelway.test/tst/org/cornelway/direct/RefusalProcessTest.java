package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.standin.platform.Fault;
import org.testng.annotations.Test;

/** Tests that callers are told that a call has not run only if its server has proved it. */
public class RefusalProcessTest extends DirectTestBase {
    private static final int BAD_GATEWAY = 502;
    private static final List<String> PLAIN_SERVERS = List.of("p1", "p2");

    private void inject(Fault fault) {
        PLAIN_SERVERS.forEach(id -> fleet().backendServer(id).injectFault(fault));
    }

    private long executedCalls() {
        return PLAIN_SERVERS.stream().mapToLong(this::executedCalls).sum();
    }

    /**
     * Guards against a refusal that belongs to another call: the caller would be told to try again,
     * or the call would run at a second server.
     */
    @Test
    public void refusalWithoutIdDoesNotProveThatCallHasNotRun() {
        inject(Fault.REPEATED_REFUSAL);
        Response response = call("/unsafe/a", "x");
        assertThat(response.status()).as(response.body()).isEqualTo(BAD_GATEWAY);
        assertThat(executedCalls()).isEqualTo(1);
    }

    /** Guards against passing on a status that promises that the call has not run. */
    @Test
    public void statusWithoutProofIsNotPassedOnAsRefusal() {
        inject(Fault.UNAVAILABLE);
        Response response = call("/unsafe/a", "x");
        assertThat(response.status()).as(response.body()).isEqualTo(BAD_GATEWAY);
        assertThat(executedCalls()).isEqualTo(1);
    }

    @Test
    public void refusedCallIsSentToAnotherServer() {
        fleet().backendServer("p1").injectFault(Fault.OVERLOADED);
        for (int i = 0; i < 4; i++) {
            assertThat(call("/unsafe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(executedCalls()).isEqualTo(4);
    }
}
