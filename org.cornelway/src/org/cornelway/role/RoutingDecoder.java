package org.cornelway.role;

import org.cornelway.result.Result;
import org.cornelway.route.RoutingConfiguration;

/** Reads the operator's configuration from its stored form. Stateless and thread-safe. */
@FunctionalInterface
public interface RoutingDecoder {
    /** The configuration; a failure says what is malformed. */
    Result<RoutingConfiguration> decode(byte[] value);
}
