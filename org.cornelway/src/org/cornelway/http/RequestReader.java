package org.cornelway.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.cornelway.config.Json;
import org.cornelway.config.PresetIndex;
import org.cornelway.config.ServiceRule;
import org.cornelway.config.TeamRule;
import org.cornelway.entry.EntryRequest;
import org.cornelway.result.Result;
import org.cornelway.result.ResultCode;
import org.cornelway.routing.RoutingTarget;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.ModelWork;
import org.cornelway.rpc.PlainWork;
import org.cornelway.rpc.RequestClass;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/** Parses and validates callers' requests. Thread-safe. */
final class RequestReader {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final String ADAPTER_SEPARATOR = ":";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

    private final Clock mClock;
    private final long mDefaultDeadlineMillis;
    private final long mMaxDeadlineMillis;

    RequestReader(Clock clock, long defaultDeadlineMillis, long maxDeadlineMillis) {
        mClock = clock;
        mDefaultDeadlineMillis = defaultDeadlineMillis;
        mMaxDeadlineMillis = maxDeadlineMillis;
    }

    /**
     * Returns the caller's team, empty if the preset requires no team key, or a refusal if the key
     * is missing or wrong.
     */
    Result<Optional<TeamRule>> authenticateTeam(HttpServerRequest request, PresetIndex preset) {
        if (!preset.requiresTeamKey()) {
            return Result.ok(Optional.empty());
        }
        Optional<TeamRule> team =
                bearerToken(request)
                        .map(RequestReader::sha256Hex)
                        .flatMap(preset::findTeamByKeySha256);
        if (team.isEmpty()) {
            return Result.failed(ResultCode.UNAUTHENTICATED, "team key missing or wrong");
        }
        return Result.ok(team);
    }

    static Optional<String> bearerToken(HttpServerRequest request) {
        return Optional.ofNullable(request.getHeader(HttpHeaders.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim());
    }

    /** Parses a completion request. */
    Result<EntryRequest> readCompletion(
            RoutingContext context, String requestId, PresetIndex preset, Optional<TeamRule> team) {
        Result<JsonNode> body = parseBody(context);
        if (body.failure().isPresent()) {
            return new Result.Failed<>(body.failure().get());
        }
        JsonNode json = body.toOptional().orElseThrow();
        Result<ModelName> name = resolveModel(json.path("model").asText(""), preset);
        if (name.failure().isPresent()) {
            return new Result.Failed<>(name.failure().get());
        }
        ModelName model = name.toOptional().orElseThrow();
        if (!isAllowed(team, model.model())) {
            return teamForbidden(team, model.model());
        }
        ModelWork work =
                ModelWork.newBuilder()
                        .setModel(model.model())
                        .setAdapter(model.adapter())
                        .setPath(context.request().path())
                        .setBody(bodyBytes(context))
                        .setPredictedTokens(json.path("max_tokens").asInt(0))
                        .build();
        RoutingTarget target = RoutingTarget.ofModel(model.model());
        ExchangeRequest.Builder template = ExchangeRequest.newBuilder().setModelWork(work);
        return newRequest(context, requestId, team, target, template, true, false);
    }

    /** A model and one of its adapters; the adapter is empty if none was named. */
    private record ModelName(String model, String adapter) {}

    /**
     * Resolves the name of a model, of an adapter, or of both in the form {@code model:adapter}.
     */
    private static Result<ModelName> resolveModel(String name, PresetIndex preset) {
        if (name.isEmpty()) {
            return Result.failed(ResultCode.BAD_REQUEST, "field 'model' is missing");
        }
        if (preset.model(name).isPresent()) {
            return Result.ok(new ModelName(name, ""));
        }
        Optional<String> base = preset.findAdapterBase(name);
        if (base.isPresent()) {
            return Result.ok(new ModelName(base.get(), name));
        }
        int separator = name.indexOf(ADAPTER_SEPARATOR);
        if (separator < 0) {
            return Result.failed(ResultCode.UNKNOWN_MODEL, "model '" + name + "' is not known");
        }
        String model = name.substring(0, separator);
        String adapter = name.substring(separator + 1);
        if (preset.adapterBytes(model, adapter).isEmpty()) {
            return Result.failed(ResultCode.UNKNOWN_ADAPTER, "adapter '" + name + "' is not known");
        }
        return Result.ok(new ModelName(model, adapter));
    }

    private static Result<JsonNode> parseBody(RoutingContext context) {
        try {
            JsonNode json = Json.lenientMapper().readTree(bodyBytes(context).toByteArray());
            if (json == null || !json.isObject()) {
                return Result.failed(ResultCode.BAD_REQUEST, "body is not a JSON object");
            }
            return Result.ok(json);
        } catch (IOException e) {
            return Result.failed(ResultCode.BAD_REQUEST, "body is not JSON");
        }
    }

    /** Parses a call to a plain service. */
    Result<EntryRequest> readPlainCall(
            RoutingContext context, String requestId, PresetIndex preset, Optional<TeamRule> team) {
        String service = context.pathParam("service");
        Optional<ServiceRule> rule = preset.service(service);
        if (rule.isEmpty()) {
            return Result.failed(
                    ResultCode.UNKNOWN_SERVICE, "service '" + service + "' is not known");
        }
        if (!isAllowed(team, service)) {
            return teamForbidden(team, service);
        }
        HttpServerRequest request = context.request();
        String key = header(request, HttpHeaders.IDEMPOTENCY_KEY);
        if (key.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            return Result.failed(
                    ResultCode.BAD_REQUEST,
                    HttpHeaders.IDEMPOTENCY_KEY + " is longer than " + MAX_IDEMPOTENCY_KEY_LENGTH);
        }
        String uri = request.uri().substring(("/services/" + service).length());
        String path = uri.startsWith("/") ? uri : "/" + uri;
        String method = request.method().name();
        boolean repeatable = rule.get().isRepeatable(method, path);
        boolean deduplicated = !repeatable && !key.isEmpty();
        PlainWork work =
                PlainWork.newBuilder()
                        .setService(service)
                        .setMethod(method)
                        .setPath(path)
                        .setContentType(header(request, "Content-Type"))
                        .setBody(bodyBytes(context))
                        .setRepeatable(repeatable)
                        .setIdempotencyKey(key)
                        .build();
        // The call's key in the intent log; calls whose keys are in the same shard of the log go to
        // the same agent if possible.
        String affinity = deduplicated ? team.map(TeamRule::name).orElse("") + "/" + key : "";
        RoutingTarget target = RoutingTarget.ofService(service, affinity);
        ExchangeRequest.Builder template = ExchangeRequest.newBuilder().setPlainWork(work);
        return newRequest(context, requestId, team, target, template, repeatable, deduplicated);
    }

    private Result<EntryRequest> newRequest(
            RoutingContext context,
            String requestId,
            Optional<TeamRule> team,
            RoutingTarget target,
            ExchangeRequest.Builder template,
            boolean repeatable,
            boolean deduplicated) {
        Result<Deadline> deadline = parseDeadline(context.request());
        if (deadline.failure().isPresent()) {
            return new Result.Failed<>(deadline.failure().get());
        }
        String requestClass = header(context.request(), HttpHeaders.REQUEST_CLASS);
        if (!requestClass.matches("|interactive|deferred")) {
            return Result.failed(
                    ResultCode.BAD_REQUEST,
                    HttpHeaders.REQUEST_CLASS + " is neither interactive nor deferred");
        }
        String teamName = team.map(TeamRule::name).orElse("");
        Deadline requestDeadline = deadline.toOptional().orElseThrow();
        template.setTeam(teamName)
                .setDeadlineMillis(requestDeadline.epochMillis())
                .setRequestClass(
                        requestClass.equals("deferred")
                                ? RequestClass.DEFERRED
                                : RequestClass.INTERACTIVE);
        return Result.ok(
                new EntryRequest(
                        requestId,
                        target,
                        teamName,
                        requestDeadline,
                        repeatable,
                        deduplicated,
                        template.build()));
    }

    /**
     * Returns the deadline that the request states, or the default one if it states none. An
     * absolute deadline takes precedence over a timeout; each is limited to the maximum.
     */
    private Result<Deadline> parseDeadline(HttpServerRequest request) {
        long now = mClock.nowMillis();
        try {
            String timeoutHeader = header(request, HttpHeaders.TIMEOUT);
            String deadlineHeader = header(request, HttpHeaders.DEADLINE);
            long deadlineMillis = now + mDefaultDeadlineMillis;
            if (!timeoutHeader.isEmpty()) {
                deadlineMillis = Math.addExact(now, Long.parseLong(timeoutHeader));
            }
            if (!deadlineHeader.isEmpty()) {
                deadlineMillis = Long.parseLong(deadlineHeader);
            }
            return Result.ok(new Deadline(Math.min(deadlineMillis, now + mMaxDeadlineMillis)));
        } catch (NumberFormatException | ArithmeticException e) {
            return Result.failed(ResultCode.BAD_REQUEST, "deadline is not a whole number");
        }
    }

    private static boolean isAllowed(Optional<TeamRule> team, String target) {
        return team.isEmpty() || team.get().allows(target);
    }

    private static Result<EntryRequest> teamForbidden(Optional<TeamRule> team, String target) {
        return Result.failed(
                ResultCode.TEAM_FORBIDDEN,
                "team " + team.map(TeamRule::name).orElse("") + " may not call " + target);
    }

    private static com.google.protobuf.ByteString bodyBytes(RoutingContext context) {
        byte[] body =
                context.body().buffer() == null ? new byte[0] : context.body().buffer().getBytes();
        return com.google.protobuf.ByteString.copyFrom(body);
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    static String sha256Hex(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
