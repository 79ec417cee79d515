package org.cornelway.pgm;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.supervisor.Component;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * Starts the role of this process, an entry or an agent, and stops it gracefully on a termination
 * signal.
 *
 * <p>The main thread starts the role; the shutdown hook's thread stops it. The hook is registered
 * before the role is started. A signal during the start ends the start after the component that is
 * being started; then the components started so far are drained and stopped. The same holds if the
 * start fails.
 */
final class RoleRunner {
    /** Result of {@link #start} if the role is not to be ended by its caller. */
    private static final int KEEPS_RUNNING = -1;

    /** Longest wait for the end of the component start that is in progress at the signal. */
    private static final long START_END_TIMEOUT_MILLIS = 1_000;

    private final Logger mLog = LogManager.getLogger(RoleRunner.class);
    private final Component mRole;
    private final StopLimits mLimits;
    private final Clock mClock = Clock.system();

    /** Completes when the start has succeeded or failed. */
    private final CompletableSubject mStartEnded = CompletableSubject.create();

    private volatile boolean mStopping;

    private RoleRunner(Component role, StopLimits limits) {
        mRole = role;
        mLimits = limits;
    }

    /**
     * Registers a shutdown hook that drains and stops a role, and starts the role.
     *
     * @param limits longest durations of the drain and of the whole stop
     * @return -1 if the role was started and keeps running or a signal is ending the process, or
     *     {@link Command#EXIT_FAILED} if the role failed to start
     */
    static int start(Component role, StopLimits limits) {
        return new RoleRunner(role, limits).start();
    }

    private int start() {
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        } catch (IllegalStateException e) {
            mLog.info("{} is not started, since the process is ending", mRole.name());
            return KEEPS_RUNNING;
        }
        try {
            mRole.start().blockingAwait();
            mLog.info("{} started", mRole.name());
            return KEEPS_RUNNING;
        } catch (RuntimeException e) {
            if (mStopping) {
                mLog.info("{} was stopped during its start", mRole.name());
                return KEEPS_RUNNING;
            }
            mLog.error("{} failed to start", mRole.name(), e);
            return Command.EXIT_FAILED;
        } finally {
            mStartEnded.onComplete();
        }
    }

    private void stop() {
        mStopping = true;
        long now = mClock.nowMillis();
        Deadline drainDeadline = mLimits.drainDeadline(now);
        Deadline stopDeadline = mLimits.stopDeadline(now);
        mRole.requestStop();
        mStartEnded.blockingAwait(START_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        mLog.info("{} is draining for at most {} ms", mRole.name(), mLimits.drainMillis());
        awaitUntil(mRole.drain(drainDeadline), stopDeadline);
        boolean stopped = awaitUntil(mRole.stop(), stopDeadline);
        mLog.info("{} {}", mRole.name(), stopped ? "stopped" : "did not stop in time");
        // Writes the buffered log lines. Log4j does not do so itself, since the configurations
        // disable its shutdown hook.
        LogManager.shutdown();
    }

    /** Runs an operation; returns whether it has ended by the deadline. */
    private boolean awaitUntil(Completable operation, Deadline deadline) {
        long millis = deadline.remainingMillis(mClock.nowMillis());
        return operation.onErrorComplete().blockingAwait(millis, TimeUnit.MILLISECONDS);
    }
}
