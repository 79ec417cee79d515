package org.cornelway.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.ReceivedOrder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Rejects, freezes, kills and stops entries at random, mostly the controller, in series and
 * overlapping, and checks that no two of them take turns in giving orders to an engine.
 *
 * <p>More seeds are played by hand: {@code -Dcornelway.soak.seeds=FIRST-LAST}.
 */
public class ControllerTurnsSoakTest extends ControllerTurnsTestBase {
    private static final int FAULTS = 16;
    private static final int MAX_PAUSE_MILLIS = 1_500;

    /** Shortest rejection or freeze, and the most that is added; a lease ends after 2 s. */
    private static final int MIN_FAULT_MILLIS = 1_500;

    private static final int FAULT_SPREAD_MILLIS = 1_500;

    /** The platform does not count orders that arrive so soon after their sender was thawed. */
    private static final long THAW_MILLIS = 300;

    private final List<Ending> mEndings = new ArrayList<>();
    private final List<Thaw> mThaws = new ArrayList<>();

    /** The end of a fault that lasts. */
    private record Ending(long atNanos, Runnable action) {}

    /** An entry that has gone on after a freeze. */
    private record Thaw(String instance, long atNanos) {
        boolean excuses(ReceivedOrder order) {
            long nanos = order.receivedNanos() - atNanos;
            return order.holder().equals(instance)
                    && nanos >= 0
                    && nanos < TimeUnit.MILLISECONDS.toNanos(THAW_MILLIS);
        }
    }

    @Override
    int entryCount() {
        return 4;
    }

    @Override
    long reelectionMillis() {
        return 3_000;
    }

    /** Ranks all entries, so that one that can be elected again comes before the later ones. */
    @Override
    void prepareFleet(DirectFleet fleet) {
        super.prepareFleet(fleet);
        for (int i = 0; i < entryCount(); i++) {
            fleet.setProcessorCores(i, entryCount() - i);
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return SoakSeeds.provide("4-5");
    }

    private void endLater(Random random, Runnable action) {
        long millis = MIN_FAULT_MILLIS + random.nextInt(FAULT_SPREAD_MILLIS);
        mEndings.add(new Ending(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis), action));
    }

    private void reject(int entry, Random random) {
        fleet().store().reject(DirectFleet.instanceId(entry));
        endLater(random, () -> fleet().store().admit(DirectFleet.instanceId(entry)));
    }

    private void freeze(int entry, Random random) {
        fleet().signal(entry, "STOP");
        endLater(random, () -> thaw(entry));
    }

    private void thaw(int entry) {
        fleet().signal(entry, "CONT");
        mThaws.add(new Thaw(DirectFleet.instanceId(entry), System.nanoTime()));
    }

    private void disturb(Random random) {
        int controller = controller(fleet());
        boolean any = controller < 0 || random.nextInt(4) == 0;
        int entry = any ? random.nextInt(entryCount()) : controller;
        switch (random.nextInt(6)) {
            case 0, 1 -> reject(entry, random);
            case 2 -> freeze(entry, random);
            case 3 -> fleet().signal(entry, "KILL");
            default -> fleet().signal(entry, "TERM");
        }
    }

    /** Ends the faults that are over, and starts the entries again whose process has ended. */
    private void repair() {
        long now = System.nanoTime();
        List<Ending> due = mEndings.stream().filter(each -> each.atNanos() <= now).toList();
        mEndings.removeAll(due);
        due.forEach(each -> each.action().run());
        for (int i = 0; i < entryCount(); i++) {
            if (!fleet().entryProcess(i).isAlive()) {
                fleet().startEntry(i);
            }
        }
    }

    private void pass(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            repair();
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test(dataProvider = "seeds")
    public void noTwoEntriesTakeTurns(long seed) throws InterruptedException {
        Random random = new Random(seed);
        mEndings.clear();
        mThaws.clear();
        for (int i = 0; i < FAULTS; i++) {
            disturb(random);
            pass(random.nextInt(MAX_PAUSE_MILLIS));
        }
        while (!mEndings.isEmpty()) {
            pass(TERM_MILLIS);
        }
        ProcessFleet.await("a controller, seed " + seed, () -> controller(fleet()) >= 0);
        pass(TERM_MILLIS);
        assertNoTurns(
                "seed " + seed, order -> mThaws.stream().noneMatch(thaw -> thaw.excuses(order)));
    }
}
