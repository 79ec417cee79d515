package org.cornelway.http;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.config.ModelRule;
import org.cornelway.config.PresetIndex;
import org.cornelway.config.TeamRule;
import org.cornelway.entry.CallerSink;
import org.cornelway.entry.EntryCore;
import org.cornelway.entry.EntryRequest;
import org.cornelway.exchange.Outcome;
import org.cornelway.result.Refusal;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.cornelway.time.Clock;

/** Routes for callers: completions, the list of models, and plain services. Thread-safe. */
public final class CallerRoutes {
    private static final Logger LOG = LogManager.getLogger(CallerRoutes.class);
    private static final long MAX_BODY_BYTES = 4 << 20;
    private static final String CHAT_PATH = "/v1/chat/completions";

    private final EntryCore mCore;
    private final RequestReader mReader;
    private final String mIdPrefix = UUID.randomUUID().toString().substring(0, 18);
    private final AtomicLong mNextId = new AtomicLong();

    /**
     * @param defaultDeadlineMillis time limit of a request that specifies none, counted from its
     *     arrival
     * @param maxDeadlineMillis longest time limit of a request, counted from its arrival
     */
    public CallerRoutes(
            EntryCore core, Clock clock, long defaultDeadlineMillis, long maxDeadlineMillis) {
        mCore = core;
        mReader = new RequestReader(clock, defaultDeadlineMillis, maxDeadlineMillis);
    }

    /** Adds the routes to a router. */
    public void add(Router router) {
        BodyHandler body = BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES);
        router.post("/v1/completions").handler(body).handler(this::handleCompletion);
        router.post(CHAT_PATH).handler(body).handler(this::handleCompletion);
        router.get("/v1/models").handler(this::listModels);
        router.route("/services/:service").handler(body).handler(this::handlePlainCall);
        router.route("/services/:service/*").handler(body).handler(this::handlePlainCall);
    }

    /** Parses one kind of request. */
    private interface RequestParser {
        Result<EntryRequest> parse(String id, PresetIndex preset, Optional<TeamRule> team);
    }

    private void handleCompletion(RoutingContext context) {
        String id = nextId();
        boolean streamed = isStreamed(context);
        boolean chat = context.request().path().equals(CHAT_PATH);
        CallerSink sink =
                streamed
                        ? new StreamedCompletionSink(context.response(), id)
                        : new BufferedCompletionSink(context.response(), id, chat);
        submit(
                context,
                id,
                sink,
                (requestId, preset, team) ->
                        mReader.readCompletion(context, requestId, preset, team));
    }

    private static boolean isStreamed(RoutingContext context) {
        try {
            return context.body().buffer() != null
                    && context.body().asJsonObject().getBoolean("stream", false);
        } catch (RuntimeException e) {
            // The request reader refuses a body that is not a JSON object; a value of "stream" that
            // is not a boolean counts as false.
            return false;
        }
    }

    private void handlePlainCall(RoutingContext context) {
        String id = nextId();
        CallerSink sink = new PlainResponseSink(context.response(), id);
        submit(
                context,
                id,
                sink,
                (requestId, preset, team) ->
                        mReader.readPlainCall(context, requestId, preset, team));
    }

    private void submit(RoutingContext context, String id, CallerSink sink, RequestParser parser) {
        Optional<PresetIndex> preset = mCore.context().view().get().preset();
        if (preset.isEmpty()) {
            sink.onEnd(Outcome.failed(ResultCode.NOT_CONFIGURED, "no preset is in force"));
            return;
        }
        Result<Optional<TeamRule>> teamResult =
                mReader.authenticateTeam(context.request(), preset.get());
        if (teamResult.failure().isPresent()) {
            sendRefusal(sink, id, teamResult.failure().get());
            return;
        }
        Optional<TeamRule> team = teamResult.toOptional().orElseThrow();
        Result<EntryRequest> request = parser.parse(id, preset.get(), team);
        if (request.failure().isPresent()) {
            sendRefusal(sink, id, request.failure().get());
            return;
        }
        LOG.debug("request {}: {} {}", id, context.request().method(), context.request().path());
        Runnable cancel = mCore.submit(request.toOptional().orElseThrow(), team, sink);
        context.response().closeHandler(closed -> cancel.run());
    }

    private static void sendRefusal(CallerSink sink, String id, Refusal refusal) {
        LOG.debug("request {} refused: {} {}", id, refusal.code(), refusal.message());
        sink.onEnd(Outcome.failed(refusal.code(), refusal.message()));
    }

    /**
     * Response body with the list of models, in the format that clients of the completions API
     * expect.
     */
    private record ModelList(String object, List<ModelEntry> data) {}

    /** One model in the list. */
    private record ModelEntry(String id, String object, String ownedBy) {}

    private void listModels(RoutingContext context) {
        List<ModelEntry> entries = new ArrayList<>();
        mCore.context()
                .view()
                .get()
                .preset()
                .ifPresent(
                        preset -> {
                            for (ModelRule rule : preset.models()) {
                                entries.add(new ModelEntry(rule.name(), "model", "cornelway"));
                            }
                        });
        OperationalRoutes.sendJson(context, 200, new ModelList("list", entries));
    }

    private String nextId() {
        return mIdPrefix + "-" + mNextId.incrementAndGet();
    }
}
