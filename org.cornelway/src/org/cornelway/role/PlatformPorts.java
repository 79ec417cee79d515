package org.cornelway.role;

import java.util.function.Function;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.ChangeFeed;
import org.cornelway.platform.EngineControl;
import org.cornelway.platform.EngineNoticeListener;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.time.Clock;
import org.cornelway.traffic.CallCodec;
import org.cornelway.traffic.PlatformHttpClient;

/**
 * The platform-specific implementations that an entry needs, created by the module of that
 * platform. Immutable.
 *
 * @param codec reads and writes the HTTP heads of calls
 * @param routing decodes the operator's configuration
 * @param servers decodes the announcements of backend servers
 * @param store creates the client of the key-value service
 * @param engines creates the client of the model engines, which passes on what they say of
 *     themselves
 */
public record PlatformPorts(
        CallCodec codec,
        RoutingDecoder routing,
        ServerRecordDecoder servers,
        Function<StoreEndpoint, Store> store,
        EngineFactory engines) {
    /** Creates the client of the model engines. */
    @FunctionalInterface
    public interface EngineFactory {
        /**
         * @param clock the clock by which the times of limits are ordered
         * @param notices receives what the engines say of themselves
         */
        EngineControl create(PlatformHttpClient client, Clock clock, EngineNoticeListener notices);
    }

    /** The address of the key-value service, and the client that sends requests to it. */
    public record StoreEndpoint(PlatformHttpClient client, HttpEndpoint endpoint) {}

    /** The client of the key-value service, as a store and as a change feed. */
    public record Store(KeyValueStore keys, ChangeFeed feed) {}
}
