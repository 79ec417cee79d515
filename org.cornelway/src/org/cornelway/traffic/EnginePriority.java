package org.cornelway.traffic;

/**
 * Derives the priority of a call in an engine's queue from that of its route or customer.
 * Stateless.
 *
 * <p>Engines accept priorities from 0, the most urgent, to 9. Adjacent route priorities are mapped
 * to engine priorities that are two apart, which leaves room for priorities in between.
 */
final class EnginePriority {
    private static final int PRIORITY_STEP = 2;
    private static final int LOWEST_PRIORITY = 9;

    private EnginePriority() {}

    /** Returns the priority at the engine of a call with a priority, 0 the most urgent. */
    static int of(int priority) {
        return Math.max(0, Math.min(LOWEST_PRIORITY, priority * PRIORITY_STEP));
    }
}
