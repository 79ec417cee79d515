package org.cornelway.overload;

import java.util.Collection;

/**
 * Derives the priority of a call in an engine's queue from that of its route or customer.
 * Stateless.
 *
 * <p>Engines accept priorities from 0, the most urgent, to 9. Adjacent route priorities are mapped
 * to engine priorities that are two apart, which leaves room for priorities in between.
 */
public final class EnginePriority {
    /** Least urgent priority that engines accept. */
    public static final int LOWEST = 9;

    private static final int PRIORITY_STEP = 2;

    private EnginePriority() {}

    /** Returns the priority at the engine of a call with a priority, 0 the most urgent. */
    public static int of(int priority) {
        return Math.max(0, Math.min(LOWEST, priority * PRIORITY_STEP));
    }

    /**
     * Returns the least urgent value before those of the next less urgent priority.
     *
     * @param used the priorities of all calls
     */
    public static int lowest(int priority, Collection<Integer> used) {
        return used.stream()
                .filter(each -> each > priority)
                .mapToInt(each -> Math.max(of(priority), of(each) - 1))
                .min()
                .orElse(LOWEST);
    }
}
