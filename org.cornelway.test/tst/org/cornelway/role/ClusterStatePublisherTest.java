package org.cornelway.role;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.eventlog.EventLog;
import org.cornelway.platform.KeyValue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that documents that arrive together are published together. */
public class ClusterStatePublisherTest {
    private static final String FAILING_KEY = "servers/failing";

    private final TestScheduler mControl = new TestScheduler();
    private final List<String> mAppliedKeys = new ArrayList<>();

    /** For each publication, the number of documents that were applied before it. */
    private final List<Integer> mAppliedCounts = new ArrayList<>();

    private final ClusterStatePublisher mPublisher =
            new ClusterStatePublisher(
                    this::apply,
                    mControl,
                    () -> mAppliedCounts.add(mAppliedKeys.size()),
                    new EventLog(() -> 0, new MetricRegistry()));

    private boolean apply(KeyValue document) {
        if (document.key().equals(FAILING_KEY)) {
            throw new IllegalStateException("unexpected");
        }
        return mAppliedKeys.add(document.key());
    }

    @BeforeMethod
    public void setUp() {
        mAppliedKeys.clear();
        mAppliedCounts.clear();
    }

    private static KeyValue document(String key) {
        return new KeyValue(key, new byte[0], 1);
    }

    @Test
    public void documentsThatArriveTogetherArePublishedTogether() {
        mPublisher.apply(document("servers/a"));
        mPublisher.apply(document("servers/b"));
        mPublisher.apply(document("servers/c"));
        assertThat(mAppliedCounts).isEmpty();
        mControl.triggerActions();
        assertThat(mAppliedCounts).containsExactly(3);
        mPublisher.apply(document("servers/d"));
        mControl.triggerActions();
        assertThat(mAppliedCounts).containsExactly(3, 4);
    }

    @Test
    public void documentThatCannotBeAppliedDoesNotEndTheUpdates() {
        PublishProcessor<KeyValue> changes = PublishProcessor.create();
        changes.observeOn(mControl).subscribe(mPublisher::apply);
        changes.onNext(document(FAILING_KEY));
        changes.onNext(document("servers/a"));
        mControl.triggerActions();
        assertThat(mAppliedKeys).containsExactly("servers/a");
        assertThat(mAppliedCounts).containsExactly(1);
    }
}
