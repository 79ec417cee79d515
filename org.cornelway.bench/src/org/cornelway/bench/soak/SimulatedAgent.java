package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cornelway.agent.AgentCore;
import org.cornelway.agent.WorkHandler;
import org.cornelway.exchange.AnswerSink;
import org.cornelway.platform.Member;
import org.cornelway.residency.ModelPhase;
import org.cornelway.rpc.AgentLoad;
import org.cornelway.rpc.ExchangeRequest;
import org.cornelway.rpc.WithdrawReply;
import org.cornelway.time.Deadline;

/** An agent that can be killed and frozen. Used by the thread of its run. */
public final class SimulatedAgent {
    private static final long TICK_MILLIS = 20;

    private final Member mMember;
    private final Scheduler mScheduler;
    private final Function<Incarnation, WorkHandler> mHandlers;
    private Incarnation mLife;
    private int mLives;
    private long mFrozenUntilMillis;

    /**
     * @param handlers makes the handler of each run of the agent
     */
    public SimulatedAgent(
            Member member, Scheduler scheduler, Function<Incarnation, WorkHandler> handlers) {
        mMember = member;
        mScheduler = scheduler;
        mHandlers = handlers;
        mLife = new Incarnation();
    }

    /** One run of the agent process. */
    public final class Incarnation {
        private final String mIncarnation = mMember.id() + "#" + mLives++;
        private final AgentCore mCore;
        private boolean mAlive = true;

        Incarnation() {
            mCore =
                    new AgentCore(
                            mHandlers.apply(this), mScheduler, () -> false, PlacementRun.metrics());
            mScheduler.scheduleDirect(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void tick() {
            if (mAlive) {
                if (!isFrozen()) {
                    mCore.tick();
                }
                mScheduler.scheduleDirect(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        boolean isAlive() {
            return mAlive;
        }

        /** Answers a request unless this life has ended. */
        void startOrAttach(ExchangeRequest request, AnswerSink sink) {
            if (mAlive) {
                mCore.startOrAttach(request, sink);
            }
        }

        Optional<WithdrawReply> withdraw(String id, long deadlineMillis) {
            if (!mAlive) {
                return Optional.empty();
            }
            return Optional.of(
                    WithdrawReply.newBuilder()
                            .setOutcome(mCore.withdraw(id, new Deadline(deadlineMillis)))
                            .setIncarnation(mIncarnation)
                            .build());
        }

        AgentLoad load(ExchangeRequest request) {
            String model = request.getModelWork().getModel();
            boolean loaded =
                    mCore.handler().heldModels().stream()
                            .filter(status -> status.phase() == ModelPhase.LOADED)
                            .anyMatch(status -> status.model().equals(model));
            return AgentLoad.newBuilder()
                    .setCapacity(mCore.handler().capacity())
                    .setActive(mCore.handler().active())
                    .setWaiting(mCore.handler().waiting())
                    .setResident(loaded)
                    .setIncarnation(mIncarnation)
                    .build();
        }
    }

    /** The agent as the platform lists it. */
    public Member member() {
        return mMember;
    }

    Incarnation incarnation() {
        return mLife;
    }

    void restart() {
        mLife.mAlive = false;
        mLife = new Incarnation();
    }

    void freeze(long untilMillis) {
        mFrozenUntilMillis = untilMillis;
    }

    boolean isFrozen() {
        return remainingFreezeMillis() > 0;
    }

    /** Milliseconds until the agent goes on. */
    long remainingFreezeMillis() {
        return Math.max(0, mFrozenUntilMillis - mScheduler.now(TimeUnit.MILLISECONDS));
    }
}
