package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.testng.annotations.Test;

/** Tests which errors of a caller's connection count as errors of this process. */
public class ConnectionErrorsTest {
    /** Guards against a response that goes on although a part of it was not written. */
    @Test
    public void failedWriteClosesConnection() {
        ConnectionErrors errors = new ConnectionErrors();
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.newFailedFuture(new IllegalStateException("not encoded")).addListener(errors);
        channel.runPendingTasks();
        assertThat(channel.isOpen()).isFalse();
        assertThat(errors.reason())
                .contains("unexpected error: " + new IllegalStateException("not encoded"));
    }

    @Test
    public void errorOfNetworkIsNoErrorOfProcess() {
        ConnectionErrors errors = new ConnectionErrors();
        assertThat(errors.record(new IOException("Connection reset"))).isFalse();
        assertThat(errors.reason()).isEmpty();
    }

    @Test
    public void firstErrorIsKept() {
        ConnectionErrors errors = new ConnectionErrors();
        assertThat(errors.record(new IllegalStateException("first"))).isTrue();
        errors.record(new IllegalStateException("second"));
        assertThat(errors.reason().orElseThrow()).contains("first").doesNotContain("second");
    }
}
