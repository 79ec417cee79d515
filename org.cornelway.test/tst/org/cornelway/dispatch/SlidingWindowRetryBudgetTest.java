package org.cornelway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/**
 * Tests in random runs that the resends of all processes together stay within the limit, and that
 * they exceed it without a budget.
 */
public class SlidingWindowRetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;
    private static final double SLACK = 58;
    private static final int PROCESSES = 5;

    /** Decides whether a process may resend. */
    private interface ResendGate {
        boolean tryAcquire(int process);
    }

    /**
     * Simulates calls that often fail. Returns the largest number by which the resends of any
     * window exceeded the limit; 0 or less if the limit held.
     */
    private static double worstExcess(long seed, boolean budgeted) {
        Random random = new Random(seed);
        AtomicLong now = new AtomicLong(1_000_000);
        List<SlidingWindowRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            budgets.add(new SlidingWindowRetryBudget(now::get, WINDOW_MILLIS, RATIO, SLACK));
        }
        ResendGate gate = process -> !budgeted || budgets.get(process).tryAcquire("s", PROCESSES);
        Deque<Long> calls = new ArrayDeque<>();
        Deque<Long> resends = new ArrayDeque<>();
        double worst = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < 6_000; i++) {
            now.addAndGet(random.nextInt(12));
            int process = random.nextInt(10) < 6 ? 0 : random.nextInt(PROCESSES);
            budgets.get(process).recordCall("s");
            calls.add(now.get());
            for (int failure = 0; failure < 3 && random.nextInt(10) < 7; failure++) {
                if (gate.tryAcquire(process)) {
                    resends.add(now.get());
                }
            }
            while (calls.peek() <= now.get() - WINDOW_MILLIS) {
                calls.poll();
            }
            while (!resends.isEmpty() && resends.peek() <= now.get() - WINDOW_MILLIS) {
                resends.poll();
            }
            worst = Math.max(worst, resends.size() - RATIO * calls.size() - SLACK);
        }
        return worst;
    }

    @Test
    public void resendsOfAllProcessesStayWithinLimit() {
        for (long seed = 0; seed < 20; seed++) {
            assertThat(worstExcess(seed, true)).as("seed " + seed).isLessThanOrEqualTo(0);
        }
    }

    @Test
    public void limitIsExceededWithoutBudget() {
        assertThat(worstExcess(0, false)).isPositive();
    }

    /** Guards against hedges that leave nothing for calls whose server fails. */
    @Test
    public void shareOfTheBudgetLeavesTheRest() {
        SlidingWindowRetryBudget budget =
                new SlidingWindowRetryBudget(() -> 1_000_000, WINDOW_MILLIS, 0, 20);
        int granted = 0;
        while (budget.tryAcquire("s", 1, 0.5)) {
            granted++;
        }
        assertThat(granted).isEqualTo(7);
        assertThat(budget.tryAcquire("s", 1)).isTrue();
    }
}
