package org.cornelway.cluster;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.LimitObservation;
import org.cornelway.rpc.ServerCalls;
import org.cornelway.rpc.ServerLimit;

/**
 * Translates the limits of servers and the permits for calls to them. Messages hold ages instead of
 * times, since the clocks of two processes may differ. Stateless and thread-safe.
 */
final class LimitMessages {
    private LimitMessages() {}

    static List<ServerLimit> toMessages(List<LimitObservation> limits, long nowMillis) {
        return limits.stream().map(each -> toMessage(each, nowMillis)).toList();
    }

    private static ServerLimit toMessage(LimitObservation limit, long nowMillis) {
        ServerLimit.Builder message =
                ServerLimit.newBuilder()
                        .setServer(limit.server().id())
                        .setBorn(limit.server().startedMillis())
                        .setSentAgeMillis(nowMillis - limit.sentMillis())
                        .setReceivedAgeMillis(nowMillis - limit.receivedMillis());
        limit.callsPerSecond().ifPresent(message::setCallsPerSecond);
        return message.build();
    }

    /**
     * @param nowMillis time from which the ages are counted back
     */
    static List<LimitObservation> fromMessages(List<ServerLimit> messages, long nowMillis) {
        return messages.stream().map(each -> fromMessage(each, nowMillis)).toList();
    }

    private static LimitObservation fromMessage(ServerLimit message, long nowMillis) {
        return new LimitObservation(
                new ServerIncarnation(message.getServer(), message.getBorn()),
                message.hasCallsPerSecond()
                        ? OptionalDouble.of(message.getCallsPerSecond())
                        : OptionalDouble.empty(),
                nowMillis - message.getSentAgeMillis(),
                nowMillis - message.getReceivedAgeMillis());
    }

    static ServerCalls toMessage(ServerIncarnation server, int calls) {
        return ServerCalls.newBuilder()
                .setServer(server.id())
                .setBorn(server.startedMillis())
                .setCalls(calls)
                .build();
    }

    static Map<ServerIncarnation, Integer> toCalls(List<ServerCalls> messages) {
        return messages.stream()
                .collect(
                        Collectors.toMap(
                                each -> new ServerIncarnation(each.getServer(), each.getBorn()),
                                ServerCalls::getCalls,
                                Integer::sum));
    }
}
