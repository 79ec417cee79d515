package org.cornelway.role;

import java.util.function.Function;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.ChangeFeed;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.traffic.CallCodec;
import org.cornelway.traffic.PlatformHttpClient;

/**
 * The ways to a platform that an entry needs, made by the platform's own module. Immutable.
 *
 * @param codec heads of calls
 * @param routing the operator's configuration
 * @param servers announcements of backend servers
 * @param store makes the client of the key-value service
 * @param engines makes the way to model engines
 */
public record PlatformPorts(
        CallCodec codec,
        RoutingDecoder routing,
        ServerRecordDecoder servers,
        Function<Target, Store> store,
        Function<PlatformHttpClient, EngineControl> engines) {
    /** Where the key-value service is, and what to call it with. */
    public record Target(PlatformHttpClient client, HttpEndpoint endpoint) {}

    /** The key-value service through both of its ports. */
    public record Store(KeyValueStore keys, ChangeFeed feed) {}
}
