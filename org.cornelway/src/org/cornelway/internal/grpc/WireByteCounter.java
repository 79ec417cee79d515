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
 * Counts the bytes that calls to the peer service transfer, after compression and including an
 * estimate for the headers.
 *
 * <p>Thread-safe.
 */
public final class WireByteCounter implements ClientInterceptor {
    /**
     * Estimate for the frames and headers of one call, in both directions; most headers are sent
     * only once for each connection.
     */
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
        return next.newCall(method, options.withStreamTracerFactory(new ClientTracerFactory()));
    }

    /** Returns the factory of the tracers that count the bytes of incoming calls. */
    public ServerStreamTracer.Factory serverTracerFactory() {
        return new ServerTracerFactory();
    }

    /** Creates the tracers of outgoing calls. */
    private final class ClientTracerFactory extends ClientStreamTracer.Factory {
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

    /**
     * Creates the tracers of incoming calls. Only calls to the peer service are counted, not the
     * calls with which entries pass requests to agents.
     */
    private final class ServerTracerFactory extends ServerStreamTracer.Factory {
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
