package org.cornelway.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelway.time.Deadline;

/**
 * The requests and withdrawals that the agent remembers.
 *
 * <p>Ended requests and withdrawals are removed {@link #RETENTION_MILLIS} after the deadline of the
 * request. A request that arrives after its deadline is refused for that reason alone, so its
 * withdrawal need not be remembered any longer. Not thread-safe; confined to the control thread.
 */
final class ExchangeTable {
    /**
     * Time for which an answer is kept after the deadline of its request, so that an entry can
     * still attach to it.
     */
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
        long expiredDeadlineMillis = nowMillis - RETENTION_MILLIS;
        mExchanges
                .values()
                .removeIf(
                        exchange ->
                                exchange.state() == AgentExchange.State.ENDED
                                        && exchange.deadline().isPast(expiredDeadlineMillis));
        mWithdrawn.values().removeIf(deadline -> deadline.isPast(expiredDeadlineMillis));
    }

    int size() {
        return mExchanges.size();
    }
}
