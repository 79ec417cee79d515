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

/** Starts all stand-ins in one process, on consecutive ports and one event loop. */
public final class StandinProgram extends AbstractVerticle {
    @Parameter(names = "--port", description = "First port: key-value service")
    private int mPort = 7400;

    @Parameter(names = "--engines", description = "Number of model engines")
    private int mEngines = 3;

    @Parameter(names = "--plain", description = "Number of instances of the plain service")
    private int mPlain = 2;

    @Parameter(names = "--list-lag-ms", description = "Lag of the instance list (ms)")
    private long mListLagMillis = 200;

    @Parameter(names = "--loads-per-second", description = "Loads of the weight store")
    private double mLoadsPerSecond = 4;

    @Parameter(names = "--engines-check-fencing", description = "Number of engines that check")
    private int mCheckingEngines = 1;

    /** Ports before the first engine's: key-value service, instance list, weight store. */
    public static final int PLATFORM_PORTS = 3;

    /** Runs until it is killed. */
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
        KeyValueState engine = new KeyValueState(Clock.system());
        servers.add(serve(mPort, new KeyValueStandin(vertx, engine)::add));
        servers.add(serve(mPort + 1, new InstanceListStandin(vertx, mListLagMillis)::add));
        WeightStoreStandin weights = new WeightStoreStandin(vertx, mLoadsPerSecond);
        ReplicaCounter census = new ReplicaCounter();
        servers.add(serve(mPort + 2, router -> addReports(router, weights, census)));
        int port = mPort + PLATFORM_PORTS;
        for (int i = 0; i < mEngines; i++) {
            EngineProfile profile = EngineProfile.small(i < mCheckingEngines);
            servers.add(serve(port++, new EngineStandin(vertx, profile, weights, census)::add));
        }
        Map<String, Integer> book = new TreeMap<>();
        for (int i = 0; i < mPlain; i++) {
            servers.add(serve(port++, new PlainServiceStandin(vertx, book)::add));
        }
        Future.all(servers).<Void>mapEmpty().onComplete(started);
    }

    private static void addReports(
            Router router, WeightStoreStandin weights, ReplicaCounter census) {
        router.get("/v1/checkpoints/:model")
                .handler(context -> context.response().end("{\"bytes\":" + (16L << 30) + "}"));
        router.get("/census")
                .handler(
                        context ->
                                context.response().end(Buffer.buffer(Json.write(census.report()))));
        router.post("/speed")
                .handler(BodyHandler.create(false))
                .handler(
                        context -> {
                            weights.setSlowFactor(
                                    context.body().asJsonObject().getDouble("slowFactor"));
                            context.response().end("{}");
                        });
    }

    private Future<?> serve(int port, Consumer<Router> routes) {
        Router router = Router.router(vertx);
        routes.accept(router);
        return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1");
    }
}
