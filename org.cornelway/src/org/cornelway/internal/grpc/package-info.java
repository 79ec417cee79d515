/** gRPC clients and services for calls between the system's own processes; not API. */
package org.cornelway.internal.grpc;
