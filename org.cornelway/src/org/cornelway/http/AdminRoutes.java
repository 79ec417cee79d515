package org.cornelway.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.admin.ConfigurationEditor;
import org.cornelway.admin.StatusCollector;
import org.cornelway.config.Json;
import org.cornelway.config.Preset;
import org.cornelway.result.Refusal;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;

/** Routes of the administration API, which docs/ADMIN-API.md describes. Thread-safe. */
public final class AdminRoutes {
    private static final Logger LOG = LogManager.getLogger(AdminRoutes.class);
    private static final String PREFIX = "/admin/v1";
    private static final String AUTHOR_HEADER = "X-Author";
    private static final long MAX_BODY_BYTES = 1 << 20;

    private final ConfigurationEditor mEditor;
    private final StatusCollector mStatusCollector;
    private final byte[] mToken;

    /**
     * @param token the bearer token that operators must send
     */
    public AdminRoutes(ConfigurationEditor editor, StatusCollector status, String token) {
        mEditor = editor;
        mStatusCollector = status;
        mToken = token.getBytes(StandardCharsets.UTF_8);
    }

    /** Adds the routes to a router. */
    public void add(Router router) {
        router.route(PREFIX + "/*").handler(this::authenticate);
        router.route(PREFIX + "/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get(PREFIX + "/presets").handler(c -> sendValue(c, mEditor::presets));
        router.get(PREFIX + "/presets/:name").handler(this::getPreset);
        router.put(PREFIX + "/presets/:name").handler(this::putPreset);
        router.post(PREFIX + "/validate").handler(this::validate);
        router.post(PREFIX + "/switch").handler(this::switchPreset);
        router.get(PREFIX + "/configuration").handler(this::getConfiguration);
        router.get(PREFIX + "/history").handler(c -> sendValue(c, mEditor::history));
        router.get(PREFIX + "/status").handler(c -> sendValue(c, mStatusCollector::collect));
    }

    private void authenticate(RoutingContext context) {
        String sentToken = RequestReader.bearerToken(context.request()).orElse("");
        if (MessageDigest.isEqual(sentToken.getBytes(StandardCharsets.UTF_8), mToken)) {
            context.next();
        } else {
            sendRefusal(context, Refusal.of(ResultCode.UNAUTHENTICATED, "operator token is wrong"));
        }
    }

    private void getPreset(RoutingContext context) {
        String name = context.pathParam("name");
        sendResult(
                context,
                () ->
                        mEditor.preset(name)
                                .map(
                                        stored ->
                                                stored.map(Result::ok)
                                                        .orElse(
                                                                Result.failed(
                                                                        ResultCode.UNKNOWN_PRESET,
                                                                        "no preset " + name))));
    }

    private void getConfiguration(RoutingContext context) {
        sendResult(
                context,
                () ->
                        mEditor.configuration()
                                .map(
                                        stored ->
                                                stored.map(Result::ok)
                                                        .orElse(
                                                                Result.failed(
                                                                        ResultCode.NOT_CONFIGURED,
                                                                        "nothing in force"))));
    }

    private void putPreset(RoutingContext context) {
        Result<Preset> preset = Json.readPreset(body(context));
        if (preset.failure().isPresent()) {
            sendRefusal(context, preset.failure().get());
            return;
        }
        Preset value = preset.toOptional().orElseThrow();
        if (!value.name().equals(context.pathParam("name"))) {
            sendRefusal(
                    context,
                    Refusal.of(ResultCode.BAD_REQUEST, "name differs from the path's name"));
            return;
        }
        sendResult(context, () -> mEditor.put(value, author(context)));
    }

    /**
     * Response body of a validation.
     *
     * @param faults what is wrong with the preset; empty if it is valid
     */
    private record Validation(boolean valid, List<String> faults) {}

    private void validate(RoutingContext context) {
        Result<Preset> preset = Json.readPreset(body(context));
        List<String> errors =
                preset instanceof Result.Ok<Preset> ok
                        ? mEditor.validate(ok.value())
                        : List.of(preset.failure().orElseThrow().message());
        OperationalRoutes.sendJson(context, 200, new Validation(errors.isEmpty(), errors));
    }

    private void switchPreset(RoutingContext context) {
        try {
            JsonNode json = Json.lenientMapper().readTree(body(context));
            // Without a preset's name, the name is empty and is reported as an unknown preset.
            String name = json.path("preset").asText("");
            Optional<Long> expected =
                    json.hasNonNull("expectVersion")
                            ? Optional.of(json.get("expectVersion").asLong())
                            : Optional.empty();
            sendResult(context, () -> mEditor.switchTo(name, expected, author(context)));
        } catch (IOException e) {
            sendRefusal(context, Refusal.of(ResultCode.BAD_REQUEST, "body is not JSON"));
        }
    }

    private static byte[] body(RoutingContext context) {
        return context.body().buffer() == null ? new byte[0] : context.body().buffer().getBytes();
    }

    private static String author(RoutingContext context) {
        String author = context.request().getHeader(AUTHOR_HEADER);
        return author == null ? "unnamed" : author;
    }

    private <T> void sendValue(RoutingContext context, Supplier<Single<T>> call) {
        call.get()
                .subscribe(
                        value -> OperationalRoutes.sendJson(context, 200, value),
                        e -> sendUnavailable(context, e));
    }

    private <T> void sendResult(RoutingContext context, Supplier<Single<Result<T>>> call) {
        call.get()
                .subscribe(
                        result -> {
                            if (result instanceof Result.Ok<T> ok) {
                                OperationalRoutes.sendJson(context, 200, ok.value());
                            } else {
                                sendRefusal(context, result.failure().orElseThrow());
                            }
                        },
                        e -> sendUnavailable(context, e));
    }

    private static void sendUnavailable(RoutingContext context, Throwable e) {
        LOG.warn("request to {} failed: {}", context.request().path(), e.getMessage());
        sendRefusal(
                context, Refusal.of(ResultCode.STORE_UNAVAILABLE, String.valueOf(e.getMessage())));
    }

    private static void sendRefusal(RoutingContext context, Refusal refusal) {
        OperationalRoutes.sendJson(
                context,
                refusal.code().httpStatus(),
                ErrorBody.of(refusal.code(), refusal.message(), ""));
    }
}
