package org.cornelway.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.platform.Member;

/** Takes the agents in turn, whatever their load; the baseline. Thread-safe. */
public final class RoundRobinChooser implements AgentChooser {
    private final AtomicInteger mNext = new AtomicInteger();

    @Override
    public Optional<Member> choose(
            RoutingTarget target, RoutingView view, AgentLoadTable loads, Set<String> excluded) {
        List<Member> left =
                view.agents(target).stream()
                        .filter(member -> !excluded.contains(member.id()))
                        .toList();
        if (left.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(left.get(Math.floorMod(mNext.getAndIncrement(), left.size())));
    }
}
