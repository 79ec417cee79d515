package org.cornelway.role;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import org.cornelway.platform.KeyValue;
import org.testng.annotations.Test;

/** Tests that documents that arrive together are published together. */
public class ClusterStatePublisherTest {
    private final TestScheduler mControl = new TestScheduler();
    private final List<String> mAppliedKeys = new ArrayList<>();

    /** For each publication, the number of documents that were applied before it. */
    private final List<Integer> mAppliedCounts = new ArrayList<>();

    private final ClusterStatePublisher mPublisher =
            new ClusterStatePublisher(
                    document -> mAppliedKeys.add(document.key()),
                    mControl,
                    () -> mAppliedCounts.add(mAppliedKeys.size()));

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
}
