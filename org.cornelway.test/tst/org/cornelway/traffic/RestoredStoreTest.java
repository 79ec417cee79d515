package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.cornelway.ScriptedServer;
import org.cornelway.ScriptedServer.Close;
import org.cornelway.platform.HistoryLostException;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.StoreRevision;
import org.cornelway.platform.SwapResult;
import org.cornelway.platform.wire.WireStore;
import org.testng.annotations.Test;

/** Tests that nothing read before the service was restored is used as if it were of the copy. */
public class RestoredStoreTest extends EntryTestBase {
    private static final byte[] VALUE = {1};
    private static final String ITEM = "{\"Key\":\"a\",\"Value\":\"YQ==\",\"Revision\":7}";
    private static final String CHANGES = "{\"events\":[" + ITEM + "],\"CurrentRev\":9}";

    /** Makes the service answer each request with a body; the era is left out if it is empty. */
    private void answer(String era, int status, String body) {
        String header = era.isEmpty() ? "" : "Store-Era: " + era + "\r\n";
        server().setAnswer(
                        new ScriptedServer.Answer(
                                "HTTP/1.1 "
                                        + status
                                        + " S\r\n"
                                        + header
                                        + "Connection: close\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body,
                                Close.FIN,
                                0));
    }

    private WireStore storeInEra(String era) {
        WireStore store = newStore();
        answer(era, 200, ITEM);
        assertThat(store.get("a").blockingGet().orElseThrow().revision())
                .isEqualTo(StoreRevision.of(Long.parseLong(era), 7));
        return store;
    }

    @Test
    public void restoreIsToldOnceAndTheSameRevisionIsNewer() {
        WireStore store = storeInEra("1");
        TestSubscriber<Long> restores = store.restores().test();
        answer("2", 200, ITEM);
        for (int i = 0; i < 2; i++) {
            assertThat(store.get("a").blockingGet().orElseThrow().revision())
                    .isEqualTo(StoreRevision.of(2, 7));
        }
        restores.assertValues(2L);
    }

    @Test
    public void lateAnswerOfEarlierEraIsOlder() {
        WireStore store = storeInEra("2");
        answer("1", 200, ITEM);
        assertThat(store.get("a").blockingGet().orElseThrow().revision())
                .isEqualTo(StoreRevision.of(1, 7));
    }

    @Test
    public void answerWithoutOrWithMalformedEraIsOfThePresentOne() {
        WireStore store = storeInEra("3");
        TestSubscriber<Long> restores = store.restores().test();
        for (String era : new String[] {"", "-1", "4.0", "next", "99999999", "9".repeat(30)}) {
            answer(era, 200, ITEM);
            assertThat(store.get("a").blockingGet().orElseThrow().revision())
                    .as(era)
                    .isEqualTo(StoreRevision.of(3, 7));
        }
        restores.assertNoValues();
    }

    @Test
    public void watchFromEarlierEraListsAgain() {
        WireStore store = storeInEra("1");
        answer("2", 200, CHANGES);
        long after = StoreRevision.of(1, 5);
        for (int i = 0; i < 2; i++) {
            assertThatThrownBy(() -> store.changes("a", after, 0).blockingGet())
                    .hasCauseInstanceOf(HistoryLostException.class);
        }
        assertThat(store.changes("a", StoreRevision.of(2, 5), 0).blockingGet().revision())
                .isEqualTo(StoreRevision.of(2, 9));
    }

    /** Guards against a condition that a write given the same number after a restore fulfils. */
    @Test
    public void revisionOfEarlierEraIsNoConditionOfWrite() {
        WireStore store = storeInEra("2");
        answer("2", 200, "{\"Revision\":8}");
        assertThat(store.compareAndSwap("a", StoreRevision.of(1, 7), VALUE, 0).blockingGet())
                .isInstanceOf(SwapResult.NotApplied.class);
        assertThat(store.compareAndSwap("a", StoreRevision.of(2, 7), VALUE, 0).blockingGet())
                .isEqualTo(new SwapResult.Swapped(StoreRevision.of(2, 8)));
        assertThat(store.compareAndSwap("a", KeyValueStore.ABSENT, VALUE, 0).blockingGet())
                .isEqualTo(new SwapResult.Swapped(StoreRevision.of(2, 8)));
    }
}
