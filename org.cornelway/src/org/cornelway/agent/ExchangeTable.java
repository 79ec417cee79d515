package org.cornelway.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.time.Deadline;

/**
 * Remembers requests and withdrawals until their deadlines have passed.
 *
 * <p>After its deadline a request that arrives late is refused for its deadline alone, so nothing
 * need be remembered longer than the retention. Not thread-safe; confined to the control thread.
 */
final class ExchangeTable {
    /** How long an answer is kept past its deadline for an entry that attaches late. */
    private static final long RETENTION_MILLIS = 2_000;

    private final Map<String, AgentExchange> mExchanges = new HashMap<>();
    private final Map<String, Deadline> mWithdrawn = new HashMap<>();

    Optional<AgentExchange> find(String id) {
        return Optional.ofNullable(mExchanges.get(id));
    }

    void add(AgentExchange exchange) {
        mExchanges.put(exchange.id(), exchange);
    }

    void recordWithdrawal(String id, Deadline deadline) {
        mWithdrawn.put(id, deadline);
    }

    boolean isWithdrawn(String id) {
        return mWithdrawn.containsKey(id);
    }

    List<AgentExchange> openExchanges() {
        List<AgentExchange> open = new ArrayList<>();
        for (AgentExchange exchange : mExchanges.values()) {
            if (exchange.state() != AgentExchange.State.ENDED) {
                open.add(exchange);
            }
        }
        return open;
    }

    void removeExpired(long nowMillis) {
        long limit = nowMillis - RETENTION_MILLIS;
        mExchanges
                .values()
                .removeIf(
                        exchange ->
                                exchange.state() == AgentExchange.State.ENDED
                                        && exchange.deadline().isPast(limit));
        mWithdrawn.values().removeIf(deadline -> deadline.isPast(limit));
    }

    int size() {
        return mExchanges.size();
    }
}
