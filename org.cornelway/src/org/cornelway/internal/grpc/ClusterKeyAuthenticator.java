package org.cornelway.internal.grpc;

import io.grpc.CallCredentials;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.Executor;

/**
 * Authenticates calls between processes with the cluster key: adds it to outgoing calls and rejects
 * incoming calls without it.
 *
 * <p>Immutable and thread-safe.
 */
public final class ClusterKeyAuthenticator extends CallCredentials implements ServerInterceptor {
    private static final Metadata.Key<String> HEADER =
            Metadata.Key.of("x-cornelway-cluster-key", Metadata.ASCII_STRING_MARSHALLER);

    private final String mKey;

    /**
     * @param key the secret that all processes share
     */
    public ClusterKeyAuthenticator(String key) {
        mKey = key;
    }

    @Override
    public void applyRequestMetadata(RequestInfo info, Executor executor, MetadataApplier applier) {
        Metadata headers = new Metadata();
        headers.put(HEADER, mKey);
        applier.apply(headers);
    }

    @Override
    public <ReqT, RespT> ServerCall.Listener<ReqT> interceptCall(
            ServerCall<ReqT, RespT> call, Metadata headers, ServerCallHandler<ReqT, RespT> next) {
        String given = headers.get(HEADER);
        byte[] expected = mKey.getBytes(StandardCharsets.UTF_8);
        boolean authentic =
                given != null
                        && MessageDigest.isEqual(given.getBytes(StandardCharsets.UTF_8), expected);
        if (!authentic) {
            call.close(
                    Status.UNAUTHENTICATED.withDescription("cluster key missing or wrong"),
                    new Metadata());
            return new ServerCall.Listener<>() {};
        }
        return Contexts.interceptCall(Context.current(), call, headers, next);
    }
}
