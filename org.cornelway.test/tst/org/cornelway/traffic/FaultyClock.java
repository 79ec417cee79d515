package org.cornelway.traffic;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelway.time.Clock;

/** A clock that fails once in each of given methods, as a fault there would. Thread-safe. */
final class FaultyClock implements Clock {
    private final Clock mClock = Clock.system();
    private final Set<String> mFaults = ConcurrentHashMap.newKeySet();

    /** Sets the methods, each as a simple class name and the name of the method. */
    void failOnceIn(String... methods) {
        mFaults.addAll(Set.of(methods));
    }

    /** Whether all of the faults have occurred. */
    boolean hasFailed() {
        return mFaults.isEmpty();
    }

    @Override
    public long nowMillis() {
        if (!mFaults.isEmpty() && isCalledByFault()) {
            throw new IllegalStateException("a fault of this process");
        }
        return mClock.nowMillis();
    }

    private boolean isCalledByFault() {
        return StackWalker.getInstance()
                .walk(frames -> frames.map(FaultyClock::name).anyMatch(mFaults::remove));
    }

    private static String name(StackWalker.StackFrame frame) {
        String type = frame.getClassName();
        return type.substring(type.lastIndexOf('.') + 1) + "." + frame.getMethodName();
    }
}
