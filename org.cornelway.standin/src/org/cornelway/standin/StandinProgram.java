package org.cornelway.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.cornelway.config.Json;
import org.cornelway.time.Clock;

/**
 * Runs stand-ins for the platform, the model engines and a plain service in one process, on
 * consecutive ports and a single event loop.
 */
public final class StandinProgram extends AbstractVerticle {
    @Parameter(
            names = "--port",
            description = "Port of the key-value service; the others use the ports after it")
    private int mPort = 7400;

    @Parameter(names = "--engines", description = "Number of model engines")
    private int mEngineCount = 3;

    @Parameter(names = "--plain", description = "Number of instances of the plain service")
    private int mPlainInstanceCount = 2;

    @Parameter(
            names = "--list-lag-ms",
            description = "Time until a change is visible in the instance list (ms)")
    private long mListLagMillis = 200;

    @Parameter(
            names = "--loads-per-second",
            description = "Maximum load rate of the checkpoint store")
    private double mLoadsPerSecond = 4;

    @Parameter(
            names = "--engines-check-fencing",
            description = "Number of engines that reject stale fencing numbers")
    private int mFencingEngineCount = 1;

    /**
     * Number of ports used before those of the engines: one each for the key-value service, the
     * instance list and the checkpoint store.
     */
    public static final int PLATFORM_PORT_COUNT = 3;

    /**
     * Starts the stand-ins, which run until the process is killed; exits with status 1 if that
     * fails.
     */
    public static void main(String[] arguments) {
        StandinProgram program = new StandinProgram();
        JCommander.newBuilder().addObject(program).build().parse(arguments);
        Vertx vertx = Vertx.vertx();
        vertx.deployVerticle(program)
                .onSuccess(id -> System.out.println("stand-ins started"))
                .onFailure(
                        e -> {
                            System.err.println(e.getMessage());
                            System.exit(1);
                        });
    }

    @Override
    public void start(Promise<Void> started) {
        List<Future<?>> servers = new ArrayList<>();
        KeyValueState keyValueState = new KeyValueState(Clock.system());
        servers.add(startServer(mPort, new KeyValueStandin(vertx, keyValueState)::addRoutes));
        servers.add(
                startServer(mPort + 1, new InstanceListStandin(vertx, mListLagMillis)::addRoutes));
        CheckpointStoreStandin checkpointStore = new CheckpointStoreStandin(vertx, mLoadsPerSecond);
        ReplicaCounter replicas = new ReplicaCounter();
        servers.add(
                startServer(
                        mPort + 2,
                        router -> addCheckpointStoreRoutes(router, checkpointStore, replicas)));
        int port = mPort + PLATFORM_PORT_COUNT;
        for (int i = 0; i < mEngineCount; i++) {
            EngineProfile profile = EngineProfile.small(i < mFencingEngineCount);
            servers.add(
                    startServer(
                            port++,
                            new EngineStandin(vertx, profile, checkpointStore, replicas)
                                    ::addRoutes));
        }
        Map<String, Integer> executionsByBody = new TreeMap<>();
        for (int i = 0; i < mPlainInstanceCount; i++) {
            servers.add(
                    startServer(
                            port++, new PlainServiceStandin(vertx, executionsByBody)::addRoutes));
        }
        Future.all(servers).<Void>mapEmpty().onComplete(started);
    }

    private static void addCheckpointStoreRoutes(
            Router router, CheckpointStoreStandin checkpointStore, ReplicaCounter replicas) {
        router.get("/v1/checkpoints/:model")
                .handler(context -> context.response().end("{\"bytes\":" + (16L << 30) + "}"));
        router.get("/census")
                .handler(
                        context ->
                                context.response()
                                        .end(Buffer.buffer(Json.write(replicas.report()))));
        router.post("/speed")
                .handler(BodyHandler.create(false))
                .handler(
                        context -> {
                            checkpointStore.setSlowFactor(
                                    context.body().asJsonObject().getDouble("slowFactor"));
                            context.response().end("{}");
                        });
    }

    private Future<?> startServer(int port, Consumer<Router> routes) {
        Router router = Router.router(vertx);
        routes.accept(router);
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1");
    }
}
