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
 * Puts the lines that concern one call in order and names why it ended as it did.
 *
 * <p>Takes the lines of several processes in any order; what stands before {@code ts=} is kept, so
 * that it may name the process. Pure and immutable.
 */
public final class CallExplanation {
    /** Time before the call and after its end in which other lines may explain it. */
    private static final long BEFORE_MILLIS = 3_000;

    private static final long AFTER_MILLIS = 300;

    /** Context lines that are shown; the newest are kept. */
    private static final int MOST_CONTEXT = 40;

    private static final Pattern FIELD = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S+)");
    private static final Set<String> ENDS = Set.of("call.done", "call.failed");

    /** A line with its fields. */
    private record Line(String text, long millis, Map<String, String> fields) {
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

    /** The story of a call, from log lines. */
    public static CallExplanation of(String requestId, List<String> log) {
        List<Line> all = log.stream().flatMap(text -> parse(text).stream()).toList();
        List<Line> own = all.stream().filter(line -> line.get("id").equals(requestId)).toList();
        Optional<Line> end =
                own.stream()
                        .filter(line -> ENDS.contains(line.event()))
                        .max(Comparator.comparingLong(Line::millis));
        List<Line> shown = new ArrayList<>(own);
        end.ifPresent(last -> shown.addAll(context(all, own, last)));
        return new CallExplanation(
                shown.stream()
                        .sorted(Comparator.comparingLong(Line::millis))
                        .map(Line::text)
                        .toList(),
                end.map(last -> cause(last, own)).orElse("no line tells how the call ended"));
    }

    private static Optional<Line> parse(String text) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            fields.putIfAbsent(matcher.group(1), matcher.group(2).replace("\"", ""));
        }
        if (!fields.containsKey("event") || !fields.getOrDefault("ts", "").matches("\\d+")) {
            return Optional.empty();
        }
        return Optional.of(new Line(text, Long.parseLong(fields.get("ts")), fields));
    }

    private static List<Line> context(List<Line> all, List<Line> own, Line end) {
        Set<String> servers = new HashSet<>();
        own.forEach(line -> servers.add(line.get("server")));
        servers.remove("");
        String model = end.get("model").replaceAll("/.*", "");
        long from = end.millis() - number(end.get("ms")) - BEFORE_MILLIS;
        List<Line> related =
                all.stream()
                        .filter(line -> line.millis() >= from)
                        .filter(line -> line.millis() <= end.millis() + AFTER_MILLIS)
                        .filter(line -> line.get("id").isEmpty())
                        .filter(line -> isRelated(line, servers, model))
                        .sorted(Comparator.comparingLong(Line::millis))
                        .toList();
        return related.subList(Math.max(0, related.size() - MOST_CONTEXT), related.size());
    }

    private static boolean isRelated(Line line, Set<String> servers, String model) {
        String event = line.event();
        boolean beliefs =
                event.startsWith("controller.")
                        || event.startsWith("config.")
                        || event.startsWith("store.")
                        || event.startsWith("process.");
        return beliefs
                || servers.contains(line.get("server"))
                || line.get("model").replaceAll("/.*", "").equals(model) && !model.equals("-");
    }

    private static long number(String text) {
        return text.matches("\\d+") ? Long.parseLong(text) : 0;
    }

    private static String cause(Line end, List<Line> own) {
        String reason = end.get("reason");
        long sends = own.stream().filter(line -> line.event().equals("call.sent")).count();
        if (end.event().equals("call.done")) {
            return "served: status " + end.get("status") + " after " + end.get("ms") + " ms";
        }
        if (end.get("how").equals("left")) {
            return sends == 0
                    ? "the caller left while the call waited for model " + end.get("model")
                    : "the caller left while " + lastServer(own) + " worked on the call";
        }
        if (reason.contains("the model needs")) {
            return "model " + end.get("model") + " could not be loaded in time: " + reason;
        }
        return switch (reason.replaceAll(":.*", "")) {
            case "QUEUE_FULL" -> "no server took the call in " + sends + " sends: " + reason;
            case "NO_REPLICA" -> "this process knew no server of the service";
            case "NOT_CONFIGURED" -> "this process knew no configuration yet";
            case "UNKNOWN_SERVICE" -> "no route of the configuration in force matched the call";
            case "AGENT_LEAVING" -> "the process was stopping";
            case "DEADLINE_PASSED", "DEADLINE_PASSED_RUNNING" ->
                    "the time ran out; last server: " + lastServer(own) + "; " + reason;
            default -> "server " + lastServer(own) + " may have run it: " + reason;
        };
    }

    private static String lastServer(List<Line> own) {
        return own.stream()
                .filter(line -> line.event().equals("call.sent"))
                .max(Comparator.comparingLong(Line::millis))
                .map(line -> line.get("server"))
                .orElse("none");
    }

    /** The lines in order of time. */
    public List<String> lines() {
        return mLines;
    }

    /** Why the call ended as it did, in a sentence. */
    public String cause() {
        return mCause;
    }
}
