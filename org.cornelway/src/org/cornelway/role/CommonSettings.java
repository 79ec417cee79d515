package org.cornelway.role;

import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.relay.RelaySettings;

/**
 * Validated settings that an agent and an entry that calls agents have in common. Immutable.
 *
 * @param instanceId this instance's id in the platform's instance list
 * @param host IP address to listen on
 * @param httpPort port of the HTTP server
 * @param rpcPort port of the gRPC server
 * @param keyValueService address of the key-value service
 * @param keyValueTimeoutMillis time limit of each call to the key-value service
 * @param instanceList address of the platform's instance list
 * @param instancePollMillis time between two reads of the instance list
 * @param clusterKey secret shared by all processes
 * @param drainMillis maximum duration of a graceful stop
 * @param strictInvariants whether a violated invariant throws an exception
 * @param relay settings of the document relay
 */
public record CommonSettings(
        String instanceId,
        String host,
        int httpPort,
        int rpcPort,
        HttpEndpoint keyValueService,
        long keyValueTimeoutMillis,
        HttpEndpoint instanceList,
        long instancePollMillis,
        String clusterKey,
        long drainMillis,
        boolean strictInvariants,
        RelaySettings relay) {}
