package org.cornelway.direct;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelway.pgm.Main;
import sun.misc.Signal;

/** An entry as a process of which signals stop or suspend the traffic thread. */
public final class TrafficThreadFaults {
    /** Signal on which an error ends the traffic thread. */
    static final String STOP_SIGNAL = "URG";

    /** Signal on which the traffic thread is suspended, and resumed at the next one. */
    static final String SUSPEND_SIGNAL = "WINCH";

    private TrafficThreadFaults() {}

    /** Runs the command that the last argument names. */
    public static void main(String[] arguments) {
        AtomicBoolean suspended = new AtomicBoolean();
        Signal.handle(
                new Signal(STOP_SIGNAL),
                signal -> trafficThread().ifPresent(TrafficThreadFaults::stop));
        Signal.handle(
                new Signal(SUSPEND_SIGNAL),
                signal ->
                        toggle(
                                trafficThread().orElseThrow(),
                                !suspended.getAndSet(!suspended.get())));
        Main.main(new String[] {arguments[arguments.length - 1]});
    }

    private static Optional<Thread> trafficThread() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith("traffic-"))
                .findFirst();
    }

    /** Throws an error in a thread, wherever it is, as the lack of memory may. */
    @SuppressWarnings({"deprecation", "removal"})
    private static void stop(Thread thread) {
        thread.stop();
    }

    @SuppressWarnings({"deprecation", "removal"})
    private static void toggle(Thread thread, boolean suspend) {
        if (suspend) {
            thread.suspend();
        } else {
            thread.resume();
        }
    }
}
