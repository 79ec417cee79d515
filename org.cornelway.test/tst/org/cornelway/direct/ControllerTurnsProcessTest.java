package org.cornelway.direct;

import java.util.concurrent.TimeUnit;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.Test;

/** Tests that a controller does not soon follow its own successor. */
public class ControllerTurnsProcessTest extends ControllerTurnsTestBase {
    /** Time for which the service rejects a controller; its lease ends after 2 s. */
    private static final long REJECTED_MILLIS = 2_500;

    /** Time for which the successor still runs once the first controller can be elected again. */
    private static final long UNTIL_STOP_MILLIS = 400;

    @Override
    int entryCount() {
        return 3;
    }

    /** Longer than a stop and a start of an entry. */
    @Override
    long reelectionMillis() {
        return 8_000;
    }

    /**
     * Guards against a controller that the service has rejected for a while and that gives orders
     * again just after its successor was stopped as planned.
     */
    @Test
    public void rejectedControllerDoesNotFollowItsStoppedSuccessorAtOnce()
            throws InterruptedException {
        fleet().store().reject(DirectFleet.instanceId(0));
        TimeUnit.MILLISECONDS.sleep(REJECTED_MILLIS);
        fleet().store().admit(DirectFleet.instanceId(0));
        int successor = awaitSuccessorOf(0);
        assertNoTurnsWhenStopped(successor);
    }

    /**
     * Guards against a controller that was stopped as planned and started again, and that gives
     * orders just after its successor was stopped too: the new process does not remember the orders
     * of its instance.
     */
    @Test
    public void restartedControllerDoesNotFollowItsStoppedSuccessorAtOnce()
            throws InterruptedException {
        fleet().signal(0, "TERM");
        int successor = awaitSuccessorOf(0);
        fleet().entryProcess(0).onExit().join();
        fleet().startEntry(0);
        fleet().awaitReady(0);
        assertNoTurnsWhenStopped(successor);
    }

    /** Stops a controller that has given orders, and asserts that its follower takes no turn. */
    private void assertNoTurnsWhenStopped(int controller) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(UNTIL_STOP_MILLIS);
        assertOrdered(controller);
        fleet().signal(controller, "TERM");
        int next = awaitSuccessorOf(controller);
        TimeUnit.MILLISECONDS.sleep(TERM_MILLIS);
        assertNoTurns();
        assertOrdered(next);
    }
}
