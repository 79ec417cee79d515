package org.cornelway.supervisor;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.time.Deadline;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order in which {@link Supervisor} starts and stops, and a stop during the start. */
public class SupervisorTest {
    private static final Deadline DEADLINE = new Deadline(0);

    private List<String> mCalls;
    private Supervisor mSupervisor;

    @BeforeMethod
    public void setUp() {
        mCalls = new ArrayList<>();
        mSupervisor = new Supervisor("test", new MetricRegistry());
    }

    @Test
    public void componentsAreDrainedAndStoppedInReverseOrder() {
        mSupervisor.add(component("a", () -> {})).add(component("b", () -> {}));
        assertThat(hasStarted()).isTrue();
        drainAndStop();
        assertThat(mCalls)
                .containsExactly("start a", "start b", "drain b", "drain a", "stop b", "stop a");
    }

    /** Guards against components that start while the process is being stopped. */
    @Test
    public void stopRequestedDuringStartStopsOnlyWhatWasStarted() {
        mSupervisor
                .add(component("a", () -> {}))
                .add(component("b", mSupervisor::requestStop))
                .add(component("c", () -> {}));
        assertThat(hasStarted()).isFalse();
        drainAndStop();
        assertThat(mCalls)
                .containsExactly("start a", "start b", "drain b", "drain a", "stop b", "stop a");
    }

    @Test
    public void failedStartIsNotRepeatedAfterStopWasRequested() {
        mSupervisor.add(component("a", this::requestStopAndFail));
        assertThat(hasStarted()).isFalse();
        drainAndStop();
        assertThat(mCalls).containsExactly("start a", "drain a", "stop a");
    }

    @Test
    public void nothingIsStartedAfterStopWasRequested() {
        mSupervisor.add(component("a", () -> {}));
        mSupervisor.requestStop();
        assertThat(hasStarted()).isFalse();
        drainAndStop();
        assertThat(mCalls).isEmpty();
    }

    private void requestStopAndFail() {
        mSupervisor.requestStop();
        throw new IllegalStateException("failed");
    }

    private boolean hasStarted() {
        return mSupervisor.start().toSingleDefault(true).onErrorReturnItem(false).blockingGet();
    }

    private void drainAndStop() {
        mSupervisor.drain(DEADLINE).blockingAwait();
        mSupervisor.stop().blockingAwait();
    }

    private Component component(String name, Runnable onStart) {
        return new Component() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public Completable start() {
                return Completable.fromAction(
                        () -> {
                            mCalls.add("start " + name);
                            onStart.run();
                        });
            }

            @Override
            public Completable drain(Deadline deadline) {
                return Completable.fromAction(() -> mCalls.add("drain " + name));
            }

            @Override
            public Completable stop() {
                return Completable.fromAction(() -> mCalls.add("stop " + name));
            }
        };
    }
}
