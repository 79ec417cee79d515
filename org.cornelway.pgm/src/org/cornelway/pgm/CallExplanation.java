package org.cornelway.pgm;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The log lines that concern one call, in time order, and the cause of the call's outcome.
 *
 * <p>The lines may come from several processes and in any order. Text before {@code ts=} is kept,
 * so that each line can be prefixed with the name of its process. Immutable.
 */
public final class CallExplanation {
    /** Lines without the call's id are shown if written at most this long before the call began. */
    private static final long CONTEXT_BEFORE_MILLIS = 3_000;

    /** Lines without the call's id are shown if written at most this long after the call ended. */
    private static final long CONTEXT_AFTER_MILLIS = 300;

    /** Maximum number of lines without the call's id; the newest are kept. */
    private static final int MAX_CONTEXT_LINES = 40;

    private static final Pattern FIELD = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S+)");

    /** In the reason of a call that a fault of the process has ended. */
    private static final String UNEXPECTED_ERROR = "unexpected error";

    private static final Set<String> FINAL_EVENTS = Set.of("call.done", "call.failed");

    /**
     * A parsed log line.
     *
     * @param text the line as it was read
     * @param millis time of the line in milliseconds since the epoch
     * @param fields values by field name, without quotation marks
     */
    private record LogLine(String text, long millis, Map<String, String> fields) {
        String get(String field) {
            return fields.getOrDefault(field, "");
        }

        String event() {
            return get("event");
        }
    }

    private final List<String> mLines;
    private final String mCause;

    private CallExplanation(List<String> lines, String cause) {
        mLines = lines;
        mCause = cause;
    }

    /**
     * Explains a call from log lines.
     *
     * @param requestId id of the call
     * @param log log lines in any order; those without an event or a time are ignored
     */
    public static CallExplanation of(String requestId, List<String> log) {
        List<LogLine> allLines = log.stream().flatMap(text -> parse(text).stream()).toList();
        List<LogLine> callLines =
                allLines.stream().filter(line -> line.get("id").equals(requestId)).toList();
        Optional<LogLine> finalLine =
                callLines.stream()
                        .filter(line -> FINAL_EVENTS.contains(line.event()))
                        .max(Comparator.comparingLong(LogLine::millis));
        List<LogLine> shown = new ArrayList<>(callLines);
        finalLine.ifPresent(last -> shown.addAll(contextLines(allLines, callLines, last)));
        return new CallExplanation(
                shown.stream()
                        .sorted(Comparator.comparingLong(LogLine::millis))
                        .map(LogLine::text)
                        .toList(),
                finalLine
                        .map(last -> cause(last, callLines))
                        .orElse("no log line shows how the call ended"));
    }

    private static Optional<LogLine> parse(String text) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            fields.putIfAbsent(matcher.group(1), matcher.group(2).replace("\"", ""));
        }
        if (!fields.containsKey("event") || !fields.getOrDefault("ts", "").matches("\\d+")) {
            return Optional.empty();
        }
        return Optional.of(new LogLine(text, Long.parseLong(fields.get("ts")), fields));
    }

    /** Returns the newest lines without the call's id that may explain the call's outcome. */
    private static List<LogLine> contextLines(
            List<LogLine> allLines, List<LogLine> callLines, LogLine finalLine) {
        Set<String> servers = new HashSet<>();
        callLines.forEach(line -> servers.add(line.get("server")));
        servers.remove("");
        // The name of an adapter may follow that of the model after a slash.
        String model = finalLine.get("model").replaceAll("/.*", "");
        long fromMillis =
                finalLine.millis() - numberOrZero(finalLine.get("ms")) - CONTEXT_BEFORE_MILLIS;
        List<LogLine> relatedLines =
                allLines.stream()
                        .filter(line -> line.millis() >= fromMillis)
                        .filter(line -> line.millis() <= finalLine.millis() + CONTEXT_AFTER_MILLIS)
                        .filter(line -> line.get("id").isEmpty())
                        .filter(line -> isRelated(line, servers, model))
                        .sorted(Comparator.comparingLong(LogLine::millis))
                        .toList();
        return relatedLines.subList(
                Math.max(0, relatedLines.size() - MAX_CONTEXT_LINES), relatedLines.size());
    }

    /** Whether a line concerns the call's servers, its model or a state change of a process. */
    private static boolean isRelated(LogLine line, Set<String> servers, String model) {
        String event = line.event();
        boolean isStateChange =
                event.startsWith("controller.")
                        || event.startsWith("config.")
                        || event.startsWith("store.")
                        || event.startsWith("process.")
                        || event.startsWith("traffic.");
        // The log has "-" in place of the model if the call was not to a model.
        return isStateChange
                || servers.contains(line.get("server"))
                || line.get("model").replaceAll("/.*", "").equals(model) && !model.equals("-");
    }

    private static long numberOrZero(String text) {
        return text.matches("\\d+") ? Long.parseLong(text) : 0;
    }

    private static String cause(LogLine finalLine, List<LogLine> callLines) {
        String reason = finalLine.get("reason");
        long sendCount =
                callLines.stream().filter(line -> line.event().equals("call.sent")).count();
        if (finalLine.event().equals("call.done")) {
            return "served: status "
                    + finalLine.get("status")
                    + " after "
                    + finalLine.get("ms")
                    + " ms";
        }
        if (finalLine.get("how").equals("left")) {
            return sendCount == 0
                    ? "the caller disconnected while the call waited for model "
                            + finalLine.get("model")
                    : "the caller disconnected while server "
                            + lastServer(callLines)
                            + " was running the call";
        }
        if (reason.contains(UNEXPECTED_ERROR)) {
            return "a fault of this process ended the call: " + reason;
        }
        if (reason.contains("the model needs")) {
            return "model " + finalLine.get("model") + " could not be loaded in time: " + reason;
        }
        if (finalLine.get("how").equals("cut")) {
            return "the process ended the stream after "
                    + sendCount
                    + " sends; last server: "
                    + lastServer(callLines)
                    + "; "
                    + reason;
        }
        return causeByCode(reason, sendCount, lastServer(callLines));
    }

    /** Returns the cause that the result code at the start of a reason stands for. */
    private static String causeByCode(String reason, long sendCount, String lastServer) {
        return switch (reason.replaceAll(":.*", "")) {
            case "QUEUE_FULL" ->
                    "no server accepted the call in " + sendCount + " attempts: " + reason;
            case "NO_REPLICA" -> "the process knew of no backend server for the service";
            case "UNKNOWN_KEY" -> "the call had no key of a customer in the active configuration";
            case "NOT_CONFIGURED" -> "the process had not received a configuration yet";
            case "UNKNOWN_SERVICE" -> "no route in the active configuration matched the call";
            case "AGENT_LEAVING" -> "the process was shutting down";
            case "DEADLINE_PASSED", "DEADLINE_PASSED_RUNNING" ->
                    "the deadline passed; last server: " + lastServer + "; " + reason;
            default -> "server " + lastServer + " may have run the call: " + reason;
        };
    }

    private static String lastServer(List<LogLine> callLines) {
        return callLines.stream()
                .filter(line -> line.event().equals("call.sent"))
                .max(Comparator.comparingLong(LogLine::millis))
                .map(line -> line.get("server"))
                .orElse("none");
    }

    /** The lines in time order; empty if the log has no line with the call's id. */
    public List<String> lines() {
        return mLines;
    }

    /** The cause of the call's outcome, as one phrase. */
    public String cause() {
        return mCause;
    }
}
