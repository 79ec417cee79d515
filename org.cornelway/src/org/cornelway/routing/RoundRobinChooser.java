package org.cornelway.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.platform.Member;

/** Chooses the agents in turn, whatever their load. Baseline for comparisons. Thread-safe. */
public final class RoundRobinChooser implements AgentChooser {
    private final AtomicInteger mNext = new AtomicInteger();

    @Override
    public Optional<Member> choose(
            RoutingTarget target, RoutingView view, AgentLoadTable loads, Set<String> excluded) {
        List<Member> remaining =
                view.agents(target).stream()
                        .filter(member -> !excluded.contains(member.id()))
                        .toList();
        if (remaining.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(remaining.get(Math.floorMod(mNext.getAndIncrement(), remaining.size())));
    }
}
