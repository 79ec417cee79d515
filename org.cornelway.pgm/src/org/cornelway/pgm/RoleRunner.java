package org.cornelway.pgm;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.supervisor.Component;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/** Starts a role and stops it gracefully on a signal. Used by the main thread. */
final class RoleRunner {
    private static final long STOP_LIMIT_MILLIS = 10_000;

    private RoleRunner() {}

    /** Starts a role; returns -1 while it runs on, or an exit status. */
    static int run(Component role, long drainMillis) {
        Logger log = LogManager.getLogger(RoleRunner.class);
        try {
            role.start().blockingAwait();
        } catch (RuntimeException e) {
            log.error("{} did not start", role.name(), e);
            return Command.EXIT_FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(role, drainMillis), "stop"));
        log.info("{} started", role.name());
        return -1;
    }

    private static void stop(Component role, long drainMillis) {
        Logger log = LogManager.getLogger(RoleRunner.class);
        log.info("{} drains for at most {} ms", role.name(), drainMillis);
        Deadline deadline = Deadline.after(Clock.system().nowMillis(), drainMillis);
        role.drain(deadline).onErrorComplete().blockingAwait();
        role.stop().onErrorComplete().blockingAwait(STOP_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        log.info("{} stopped", role.name());
        LogManager.shutdown();
    }
}
