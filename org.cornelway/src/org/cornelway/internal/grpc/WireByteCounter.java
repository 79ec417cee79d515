package org.cornelway.internal.grpc;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerStreamTracer;
import org.cornelway.rpc.PeerServiceGrpc;

/**
 * Counts the bytes that calls between peers carry, as compressed, with an estimate for headers.
 *
 * <p>Thread-safe.
 */
public final class WireByteCounter implements ClientInterceptor {
    /** Frames and headers of one call, both ways; most headers are sent once a connection. */
    private static final int CALL_OVERHEAD_BYTES = 180;

    private final Counter mBytes;

    /**
     * @param metrics registry that gets the counter {@code relay.bytes}
     */
    public WireByteCounter(MetricRegistry metrics) {
        mBytes = metrics.counter("relay.bytes");
    }

    @Override
    public <Q, R> ClientCall<Q, R> interceptCall(
            MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
        return next.newCall(method, options.withStreamTracerFactory(new ClientTracers()));
    }

    /** Counts what calls from other peers carry. */
    public ServerStreamTracer.Factory serverTracerFactory() {
        return new ServerTracers();
    }

    /** Counts a call from here. */
    private final class ClientTracers extends ClientStreamTracer.Factory {
        @Override
        public ClientStreamTracer newClientStreamTracer(
                ClientStreamTracer.StreamInfo info, Metadata headers) {
            mBytes.inc(CALL_OVERHEAD_BYTES);
            return new ClientStreamTracer() {
                @Override
                public void outboundWireSize(long bytes) {
                    mBytes.inc(bytes);
                }

                @Override
                public void inboundWireSize(long bytes) {
                    mBytes.inc(bytes);
                }
            };
        }
    }

    /** Counts a call from a peer; calls of entries for work are not control. */
    private final class ServerTracers extends ServerStreamTracer.Factory {
        @Override
        public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
            if (!method.startsWith(PeerServiceGrpc.SERVICE_NAME)) {
                return new ServerStreamTracer() {};
            }
            mBytes.inc(CALL_OVERHEAD_BYTES);
            return new ServerStreamTracer() {
                @Override
                public void outboundWireSize(long bytes) {
                    mBytes.inc(bytes);
                }

                @Override
                public void inboundWireSize(long bytes) {
                    mBytes.inc(bytes);
                }
            };
        }
    }
}
