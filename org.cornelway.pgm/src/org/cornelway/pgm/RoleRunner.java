package org.cornelway.pgm;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cornelway.supervisor.Component;
import org.cornelway.time.Clock;
import org.cornelway.time.Deadline;

/**
 * Starts the role of this process, an entry or an agent, and stops it gracefully on a termination
 * signal. The main thread starts the role; the shutdown hook's thread stops it.
 */
final class RoleRunner {
    /** Longest wait for the role to stop after it was drained. */
    private static final long STOP_TIMEOUT_MILLIS = 10_000;

    private RoleRunner() {}

    /**
     * Starts a role and registers a shutdown hook that drains and stops it.
     *
     * @param drainMillis maximum duration of the drain, in milliseconds
     * @return -1 if the role was started and keeps running, or {@link Command#EXIT_FAILED} if it
     *     failed to start
     */
    static int start(Component role, long drainMillis) {
        Logger log = LogManager.getLogger(RoleRunner.class);
        try {
            role.start().blockingAwait();
        } catch (RuntimeException e) {
            log.error("{} failed to start", role.name(), e);
            return Command.EXIT_FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(role, drainMillis), "stop"));
        log.info("{} started", role.name());
        return -1;
    }

    private static void stop(Component role, long drainMillis) {
        Logger log = LogManager.getLogger(RoleRunner.class);
        log.info("{} is draining for at most {} ms", role.name(), drainMillis);
        Deadline deadline = Deadline.after(Clock.system().nowMillis(), drainMillis);
        role.drain(deadline).onErrorComplete().blockingAwait();
        role.stop().onErrorComplete().blockingAwait(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        log.info("{} stopped", role.name());
        // Writes the buffered log lines. Log4j does not do so itself, since the configurations
        // disable its shutdown hook.
        LogManager.shutdown();
    }
}
