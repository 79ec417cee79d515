package org.cornelway.traffic;

import org.cornelway.route.Route;

/**
 * Derives the priority of a call in an engine's queue from the priority of its route. Stateless.
 *
 * <p>Engines accept priorities from 0, the most urgent, to 9. Adjacent route priorities are mapped
 * to engine priorities that are two apart, which leaves room for priorities in between.
 */
final class EnginePriority {
    private static final int PRIORITY_STEP = 2;
    private static final int LOWEST_PRIORITY = 9;

    private EnginePriority() {}

    static int of(Route route) {
        return Math.max(0, Math.min(LOWEST_PRIORITY, route.priority() * PRIORITY_STEP));
    }
}
