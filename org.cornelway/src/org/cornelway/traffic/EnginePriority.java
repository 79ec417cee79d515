package org.cornelway.traffic;

import org.cornelway.route.Route;

/**
 * Ranks calls in an engine's queue by the rank of their route. Stateless.
 *
 * <p>Engines take ranks from 0, the first, to 9; a step between routes leaves room for ranks in
 * between.
 */
final class EnginePriority {
    private static final int STEP = 2;
    private static final int LAST = 9;

    private EnginePriority() {}

    static int of(Route route) {
        return Math.max(0, Math.min(LAST, route.priority() * STEP));
    }
}
