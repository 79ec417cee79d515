package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.agent.AgentExchange;
import org.cornelway.agent.WorkHandler;
import org.cornelway.exchange.Outcome;
import org.cornelway.residency.ModelStatus;
import org.cornelway.result.ResultCode;
import org.cornelway.standin.InMemoryModelEngine;

/**
 * Answers each request with a fixed number of tokens at random intervals.
 *
 * <p>Used only by the thread of its run.
 */
final class StreamingHandler implements WorkHandler {
    static final int TOKENS = 12;

    private static final int MAX_TOKEN_INTERVAL_MILLIS = 60;

    private final Scheduler mScheduler;
    private final Random mRandom;
    private int mRunningCount;

    StreamingHandler(Scheduler scheduler, Random random) {
        mScheduler = scheduler;
        mRandom = random;
    }

    @Override
    public void accept(AgentExchange exchange) {
        mRunningCount++;
        exchange.start();
        scheduleToken(exchange, 0);
    }

    /** Appends the token with an index, and all later ones, each after a random interval. */
    private void scheduleToken(AgentExchange exchange, int index) {
        if (index == TOKENS) {
            mRunningCount--;
            exchange.end(new Outcome(0, ResultCode.OK, "", 200, "text/event-stream"), false);
            return;
        }
        mScheduler.scheduleDirect(
                () -> {
                    exchange.answer().append(InMemoryModelEngine.token(exchange.id(), index));
                    scheduleToken(exchange, index + 1);
                },
                1 + mRandom.nextInt(MAX_TOKEN_INTERVAL_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean withdraw(AgentExchange exchange) {
        return false;
    }

    @Override
    public void refuseWaiting(ResultCode code, String message) {}

    @Override
    public void tick() {}

    @Override
    public int runningCount() {
        return mRunningCount;
    }

    @Override
    public int waitingCount() {
        return 0;
    }

    @Override
    public int capacity() {
        return TOKENS;
    }

    @Override
    public long earliestDeadlineMillis() {
        return 0;
    }

    @Override
    public boolean isModelLoaded(AgentExchange exchange) {
        return true;
    }

    @Override
    public List<ModelStatus> heldModels() {
        return List.of();
    }
}
