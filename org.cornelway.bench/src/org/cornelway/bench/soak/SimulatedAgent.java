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

/**
 * A simulated agent process that can be restarted and frozen.
 *
 * <p>A frozen agent skips its periodic tick, and {@link SimulatedGateway} delays its traffic until
 * it resumes. Used only by the thread of its run.
 */
public final class SimulatedAgent {
    private static final long TICK_PERIOD_MILLIS = 20;

    private final Member mMember;
    private final Scheduler mScheduler;
    private final Function<Incarnation, WorkHandler> mHandlerFactory;
    private Incarnation mIncarnation;
    private int mIncarnationCount;
    private long mFrozenUntilMillis;

    /**
     * @param member the agent's record in the platform's instance list
     * @param scheduler scheduler that runs in virtual time
     * @param handlerFactory creates the work handler of each incarnation
     */
    public SimulatedAgent(
            Member member, Scheduler scheduler, Function<Incarnation, WorkHandler> handlerFactory) {
        mMember = member;
        mScheduler = scheduler;
        mHandlerFactory = handlerFactory;
        mIncarnation = new Incarnation();
    }

    /** One incarnation of the agent process, from its start until it is killed. */
    public final class Incarnation {
        private final String mId = mMember.id() + "#" + mIncarnationCount++;
        private final AgentCore mCore;
        private boolean mAlive = true;

        Incarnation() {
            mCore =
                    new AgentCore(
                            mHandlerFactory.apply(this),
                            mScheduler,
                            () -> false,
                            PlacementRun.newMetrics());
            mScheduler.scheduleDirect(this::tick, TICK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void tick() {
            if (mAlive) {
                if (!isFrozen()) {
                    mCore.tick();
                }
                mScheduler.scheduleDirect(this::tick, TICK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        boolean isAlive() {
            return mAlive;
        }

        /**
         * Starts a request or attaches to a known one; does nothing if this incarnation was killed.
         */
        void startOrAttach(ExchangeRequest request, AnswerSink sink) {
            if (mAlive) {
                mCore.startOrAttach(request, sink);
            }
        }

        /** Withdraws a request; the reply is empty if this incarnation was killed. */
        Optional<WithdrawReply> withdraw(String id, long deadlineMillis) {
            if (!mAlive) {
                return Optional.empty();
            }
            return Optional.of(
                    WithdrawReply.newBuilder()
                            .setOutcome(mCore.withdraw(id, new Deadline(deadlineMillis)))
                            .setIncarnation(mId)
                            .build());
        }

        /** The load of the agent, and whether the model of a request is loaded. */
        AgentLoad agentLoad(ExchangeRequest request) {
            String model = request.getModelWork().getModel();
            boolean loaded =
                    mCore.handler().heldModels().stream()
                            .filter(status -> status.phase() == ModelPhase.LOADED)
                            .anyMatch(status -> status.model().equals(model));
            return AgentLoad.newBuilder()
                    .setCapacity(mCore.handler().capacity())
                    .setActive(mCore.handler().runningCount())
                    .setWaiting(mCore.handler().waitingCount())
                    .setResident(loaded)
                    .setIncarnation(mId)
                    .build();
        }
    }

    /** The agent's record in the platform's instance list. */
    public Member member() {
        return mMember;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    /** Kills the agent process and starts a new incarnation. */
    void restart() {
        mIncarnation.mAlive = false;
        mIncarnation = new Incarnation();
    }

    /** Freezes the agent until a point in virtual time. */
    void freeze(long untilMillis) {
        mFrozenUntilMillis = untilMillis;
    }

    boolean isFrozen() {
        return remainingFreezeMillis() > 0;
    }

    /** Milliseconds until the agent resumes, 0 if it is not frozen. */
    long remainingFreezeMillis() {
        return Math.max(0, mFrozenUntilMillis - mScheduler.now(TimeUnit.MILLISECONDS));
    }
}
