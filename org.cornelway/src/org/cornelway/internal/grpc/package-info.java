/** gRPC clients and services for calls between the system's own processes. Not a public API. */
package org.cornelway.internal.grpc;
