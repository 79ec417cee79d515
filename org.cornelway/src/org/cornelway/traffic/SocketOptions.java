package org.cornelway.traffic;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;

/**
 * Options of the sockets to callers, backend servers and the platform. Stateless and thread-safe.
 *
 * <p>TCP keepalive probes detect within seconds that a peer has vanished without a reset.
 */
final class SocketOptions {
    private static final int PROBE_IDLE_SECONDS = 1;
    private static final int PROBE_INTERVAL_SECONDS = 1;
    private static final int PROBE_COUNT = 2;

    private SocketOptions() {}

    @SuppressWarnings({"unchecked", "rawtypes"})
    static Map<ChannelOption<Object>, Object> all() {
        return (Map)
                Map.of(
                        ChannelOption.TCP_NODELAY,
                        true,
                        ChannelOption.SO_KEEPALIVE,
                        true,
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        PROBE_IDLE_SECONDS,
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        PROBE_INTERVAL_SECONDS,
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        PROBE_COUNT);
    }
}
