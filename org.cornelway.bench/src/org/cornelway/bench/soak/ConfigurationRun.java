package org.cornelway.bench.soak;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelway.admin.ConfigurationEditor;
import org.cornelway.bench.DemoPresets;
import org.cornelway.config.AuditEntry;
import org.cornelway.config.Configuration;
import org.cornelway.invariant.Invariants;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.MemberTable;
import org.cornelway.result.Refusal;
import org.cornelway.result.Result;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.KeyValueState;

/**
 * Tests concurrent preset switches by several operators through several entries while calls to the
 * key-value service fail.
 *
 * <p>Checks that no version is accepted twice, that the versions in the audit trail are consecutive
 * from 1, and that the audit trail holds every accepted change and no refused one.
 */
public final class ConfigurationRun implements RandomRun {
    /** Number of configuration editors, one for each entry. */
    private static final int EDITORS = 3;

    private static final int PRESETS = 4;
    private static final int MAX_STEP_MILLIS = 30;

    /** Time without faults at the end of a run, in which pending switches complete. */
    private static final long FAULT_FREE_MILLIS = 30_000;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public RunReport run(long seed, int steps, FaultMix mix) {
        RunState state = new RunState(seed, mix);
        state.run(steps);
        return state.mReport;
    }

    /** The state of one run. */
    private static final class RunState {
        private final RunReport mReport = new RunReport();
        private final TestScheduler mScheduler = new TestScheduler();
        private final KeyValueState mStoreState;
        private final Random mRandom;
        private final StoreFaults mFaults;
        private final List<ConfigurationEditor> mEditors = new ArrayList<>();
        private final Set<Long> mAcceptedVersions = new HashSet<>();
        private final Set<String> mRefusedAuthors = new HashSet<>();
        private final Set<String> mAcceptedAuthors = new HashSet<>();
        private int mAuthorCount;

        RunState(long seed, FaultMix mix) {
            mRandom = new Random(seed);
            mFaults = new StoreFaults(mRandom, mix, mReport);
            mStoreState = new KeyValueState(() -> mScheduler.now(TimeUnit.MILLISECONDS));
            for (int i = 0; i < EDITORS; i++) {
                mEditors.add(
                        new ConfigurationEditor(
                                new InMemoryKeyValueStore(mStoreState, mScheduler, mFaults),
                                new DocumentCache(Invariants.strict(), new MetricRegistry()),
                                new MemberTable("e" + i),
                                mScheduler));
            }
        }

        void run(int steps) {
            storePresets();
            for (int step = 0; step < steps; step++) {
                mScheduler.advanceTimeBy(
                        1 + mRandom.nextInt(MAX_STEP_MILLIS), TimeUnit.MILLISECONDS);
                switchPreset();
                if (mRandom.nextInt(4) == 0) {
                    mReport.countFault(RunReport.FaultKind.OPERATORS_RACED);
                    switchPreset();
                }
            }
            mFaults.stopFaults();
            mScheduler.advanceTimeBy(FAULT_FREE_MILLIS, TimeUnit.MILLISECONDS);
            checkHistory();
        }

        private void storePresets() {
            InMemoryKeyValueStore store =
                    new InMemoryKeyValueStore(
                            mStoreState,
                            mScheduler,
                            () -> InMemoryKeyValueStore.CallBehavior.NO_FAULT);
            ConfigurationEditor editor =
                    new ConfigurationEditor(
                            store,
                            new DocumentCache(Invariants.strict(), new MetricRegistry()),
                            new MemberTable("setup"),
                            mScheduler);
            for (int i = 0; i < PRESETS; i++) {
                editor.put(DemoPresets.preset("p" + i, 2, 1, 2), "setup").subscribe();
                mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
            }
        }

        /** Switches to a random preset, under an author name that no other switch has. */
        private void switchPreset() {
            mReport.countOperation();
            String author = "operator-" + mAuthorCount++;
            String preset = "p" + mRandom.nextInt(PRESETS);
            mEditors.get(mRandom.nextInt(EDITORS))
                    .switchTo(preset, Optional.empty(), author)
                    .subscribe(result -> recordResult(author, result));
        }

        /**
         * Records whether a switch was accepted or refused. A switch with an unknown outcome is not
         * recorded: it may or may not be in the audit trail.
         */
        private void recordResult(String author, Result<Configuration> result) {
            if (result instanceof Result.Ok<Configuration> ok) {
                mAcceptedAuthors.add(author);
                mReport.check(
                        mAcceptedVersions.add(ok.value().version()),
                        "version " + ok.value().version() + " was accepted twice");
            } else if (result.failure().get() instanceof Refusal.NotRun) {
                mRefusedAuthors.add(author);
            }
        }

        private void checkHistory() {
            List<AuditEntry> history = new ArrayList<>();
            mEditors.get(0).history().subscribe(all -> history.addAll(all));
            mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
            List<AuditEntry> switches =
                    history.stream().filter(entry -> entry.kind().equals("switch")).toList();
            for (int i = 0; i < switches.size(); i++) {
                mReport.check(
                        switches.get(i).version() == i + 1,
                        "audit entry " + i + " has version " + switches.get(i).version());
            }
            Set<String> authors = new HashSet<>();
            switches.forEach(entry -> authors.add(entry.author()));
            mReport.check(
                    authors.containsAll(mAcceptedAuthors),
                    "a change reported as accepted is missing from the audit trail");
            mRefusedAuthors.retainAll(authors);
            mReport.check(
                    mRefusedAuthors.isEmpty(),
                    "changes reported as refused are in the audit trail; their authors: "
                            + mRefusedAuthors);
        }
    }
}
