package org.cornelway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelway.invariant.Invariants;
import org.cornelway.platform.Member;
import org.cornelway.rpc.DescribeReply;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;
import org.cornelway.standin.InMemoryKeyValueStore;
import org.cornelway.standin.InMemoryKeyValueStore.CallBehavior;
import org.cornelway.standin.KeyValueState;
import org.testng.annotations.Test;

/** Tests that the periodic work of the relay survives failures. */
public class DocumentRelayTest {
    private static final long SECONDS = 20;

    private final TestScheduler mTime = new TestScheduler();
    private final AtomicInteger mExchanges = new AtomicInteger();

    /** A peer whose first exchange throws an exception instead of failing. */
    private final class FailingPeer implements PeerClient {
        @Override
        public Single<RelayReply> relay(Member peer, RelayRequest request) {
            if (mExchanges.getAndIncrement() == 0) {
                throw new IllegalStateException("no exchange");
            }
            return Single.just(RelayReply.getDefaultInstance());
        }

        @Override
        public Single<DescribeReply> describe(Member peer) {
            return Single.never();
        }
    }

    /** Guards against a process that exchanges no documents any more after one exception. */
    @Test
    public void relayGoesOnAfterAnExceptionOfOneExchange() {
        MetricRegistry metrics = new MetricRegistry();
        MemberTable members = new MemberTable("p0");
        members.update(List.of(member("p0"), member("p1")));
        DocumentRelay relay =
                new DocumentRelay(
                        new DocumentCache(Invariants.strict(), metrics),
                        members,
                        new FailingPeer(),
                        new InMemoryKeyValueStore(
                                new KeyValueState(() -> mTime.now(TimeUnit.MILLISECONDS)),
                                mTime,
                                () -> new CallBehavior(1, false, false)),
                        mTime,
                        RelaySettings.defaults(),
                        new Random(1),
                        metrics);
        relay.start().blockingAwait();
        mTime.advanceTimeBy(SECONDS, TimeUnit.SECONDS);
        assertThat(mExchanges.get()).isGreaterThan(2);
        relay.stop().blockingAwait();
    }

    private static Member member(String id) {
        return new Member(id, "entry", id, "r", "z", false, "", "", 0);
    }
}
