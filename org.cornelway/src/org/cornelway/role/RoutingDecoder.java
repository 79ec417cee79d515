package org.cornelway.role;

import org.cornelway.result.Result;
import org.cornelway.route.RoutingConfiguration;

/** Decodes the stored form of the operator's configuration. Stateless and thread-safe. */
@FunctionalInterface
public interface RoutingDecoder {
    /** Returns the configuration, or a failure that says what is malformed. */
    Result<RoutingConfiguration> decode(byte[] value);
}
