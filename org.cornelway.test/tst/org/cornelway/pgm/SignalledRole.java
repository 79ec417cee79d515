package org.cornelway.pgm;

import io.reactivex.rxjava3.core.Completable;
import java.util.concurrent.TimeUnit;
import org.cornelway.supervisor.Component;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;
import sun.misc.Signal;

/**
 * A role that prints a line for each call of its supervisor. {@link #main} runs it in a process of
 * its own, which sends SIGTERM to itself.
 */
public final class SignalledRole implements Component {
    /** Time between SIGTERM and the end of the grace period of the process. */
    static final long GRACE_MILLIS = 4_000;

    private static final long POLL_MILLIS = 1;

    private final Mode mMode;

    /** When the process sends SIGTERM to itself, and how its role stops. */
    enum Mode {
        SIGNALLED_DURING_START,
        SIGNALLED_AND_NEVER_STOPPED
    }

    private SignalledRole(Mode mode) {
        mMode = mode;
    }

    /** Runs the role in the mode that the first argument names. */
    public static void main(String[] arguments) throws InterruptedException {
        Mode mode = Mode.valueOf(arguments[0]);
        int status =
                RoleRunner.start(new SignalledRole(mode), StopLimits.withinGrace(GRACE_MILLIS));
        if (status >= 0) {
            System.exit(status);
        }
        if (mode == Mode.SIGNALLED_AND_NEVER_STOPPED) {
            Signal.raise(new Signal("TERM"));
        }
        TimeUnit.DAYS.sleep(1);
    }

    @Override
    public String name() {
        return "signalled-role";
    }

    @Override
    public Completable start() {
        return Completable.fromAction(
                () -> {
                    if (mMode == Mode.SIGNALLED_DURING_START) {
                        Signal.raise(new Signal("TERM"));
                        awaitShutdown();
                    }
                    System.out.println("started");
                });
    }

    /** Returns once the virtual machine has begun to shut down and accepts no further hooks. */
    private static void awaitShutdown() throws InterruptedException {
        try {
            while (true) {
                Thread hook = new Thread(() -> {});
                Runtime.getRuntime().addShutdownHook(hook);
                Runtime.getRuntime().removeShutdownHook(hook);
                Thread.sleep(POLL_MILLIS);
            }
        } catch (IllegalStateException e) {
            // The shutdown has begun.
            return;
        }
    }

    @Override
    public Completable drain(Deadline deadline) {
        System.out.println("drained");
        if (mMode == Mode.SIGNALLED_DURING_START) {
            return Completable.complete();
        }
        long millis = deadline.remainingMillis(Clock.system().nowMillis());
        return Completable.timer(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public Completable stop() {
        System.out.println("stopped");
        return mMode == Mode.SIGNALLED_DURING_START ? Completable.complete() : Completable.never();
    }
}
