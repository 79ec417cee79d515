package org.cornelway.internal.grpc;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.reactivex.rxjava3.core.Completable;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cornelway.supervisor.Component;

/** gRPC server of a process. Started and stopped by the process's supervisor only. */
public final class GrpcServer implements Component {
    private static final int MAX_MESSAGE_BYTES = 8 << 20;
    private static final int EXECUTOR_THREADS = 4;
    private static final int FLOW_CONTROL_WINDOW_BYTES = 256 << 10;

    private final NettyServerBuilder mBuilder;
    private final ExecutorService mExecutor;
    private Optional<Server> mServer = Optional.empty();

    /**
     * @param host IP address to listen on
     * @param port TCP port to listen on
     * @param authenticator rejects calls that do not carry the cluster key
     * @param byteCounter counts the bytes sent and received
     * @param services the services to offer
     */
    public GrpcServer(
            String host,
            int port,
            ClusterKeyAuthenticator authenticator,
            WireByteCounter byteCounter,
            List<BindableService> services) {
        mExecutor =
                Executors.newFixedThreadPool(EXECUTOR_THREADS, r -> new Thread(r, "grpc-server"));
        mBuilder =
                NettyServerBuilder.forAddress(new InetSocketAddress(host, port))
                        .executor(mExecutor)
                        .intercept(authenticator)
                        .addStreamTracerFactory(byteCounter.serverTracerFactory())
                        .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                        .permitKeepAliveTime(5, TimeUnit.SECONDS)
                        .permitKeepAliveWithoutCalls(true)
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES);
        services.forEach(mBuilder::addService);
    }

    @Override
    public String name() {
        return "grpc-server";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(() -> mServer = Optional.of(mBuilder.build().start()));
    }

    @Override
    public Completable stop() {
        return Completable.fromAction(
                () -> {
                    mServer.ifPresent(Server::shutdownNow);
                    mExecutor.shutdownNow();
                });
    }
}
