package org.cornelway.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.cornelway.RepeatingServer;
import org.cornelway.config.Json;
import org.cornelway.platform.KeyValueStore;
import org.cornelway.platform.Member;
import org.cornelway.platform.SwapResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no part of a late second answer of the key-value service, the checkpoint store or the
 * instance list is taken for the answer to the next request.
 */
public class RepeatedStoreAnswerTest {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long NO_VALUE = -1;

    private Vertx mVertx;
    private RepeatingServer mServer;
    private int mLists;

    @BeforeMethod
    public void start() throws IOException {
        mVertx = Vertx.vertx();
        mServer = new RepeatingServer(this::answer);
        mLists = 0;
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        mServer.close();
        mVertx.close().await();
    }

    /**
     * Answers a renewal by its lease, a conditional write by its lease too, a checkpoint by its
     * name, and each list with its number.
     */
    private String answer(String request) {
        if (request.contains("/v3/lease/keepalive ")) {
            String ttl = request.contains("\"ID\":\"1\"") ? "10" : "0";
            return RepeatingServer.answer("200 OK", "", "{\"result\":{\"TTL\":\"" + ttl + "\"}}");
        } else if (request.contains("/v3/kv/txn ")) {
            boolean succeeds = request.contains("\"lease\":\"1\"");
            String body = "{\"header\":{\"revision\":\"7\"},\"succeeded\":" + succeeds + "}";
            return RepeatingServer.answer("200 OK", "", body);
        } else if (request.contains("/v1/checkpoints/")) {
            boolean exists = request.contains("/v1/checkpoints/1 ");
            return RepeatingServer.answer(
                    exists ? "200 OK" : "404 Not Found", "", exists ? "{\"bytes\":1}" : "{}");
        }
        return RepeatingServer.answer(
                "200 OK", "", new String(Json.write(List.of(member(mLists++)))));
    }

    private static Member member(int number) {
        String id = "agent-" + number;
        return new Member(id, Member.ROLE_AGENT, "127.0.0.1:1", "r1", "z1", false, "", "", 0);
    }

    /** Bytes of the copy that follow the answer at once, and bytes written in all. */
    @DataProvider
    public Object[][] copies() {
        int all = Integer.MAX_VALUE;
        return new Object[][] {{0, all}, {1, all}, {17, all}, {all, all}, {0, 12}, {0, 17}};
    }

    private HttpEndpoint endpoint() {
        return new HttpEndpoint("127.0.0.1", mServer.port());
    }

    private KeyValueStore store() {
        return new EtcdKeyValueStore(mVertx, endpoint(), TIMEOUT_MILLIS);
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierWriteIsNotTakenForTheOutcomeOfTheNextWrite(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        KeyValueStore store = store();
        byte[] value = new byte[] {1};
        for (int i = 0; i < 2; i++) {
            assertThat(store.compareAndSwap("k", 0, value, 1).blockingGet())
                    .isEqualTo(new SwapResult.Swapped(7));
            assertThat(store.compareAndSwap("k", 0, value, 2).blockingGet())
                    .isEqualTo(new SwapResult.Conflict(Optional.empty()));
        }
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierRenewalIsNotTakenForTheNextRenewal(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        KeyValueStore store = store();
        for (int i = 0; i < 2; i++) {
            assertThat(store.keepAlive(1).blockingGet()).isTrue();
            assertThat(store.keepAlive(2).blockingGet()).isFalse();
        }
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierSizeIsNotTakenForTheNextSize(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        HttpCheckpointStore store = new HttpCheckpointStore(mVertx, endpoint());
        for (int i = 0; i < 2; i++) {
            assertThat(store.checkpointBytes("1").blockingGet().orElse(NO_VALUE)).isEqualTo(1);
            assertThat(store.checkpointBytes("2").blockingGet()).isEmpty();
        }
    }

    @Test(dataProvider = "copies")
    public void copyOfAnEarlierListIsNotTakenForTheNextList(int atOnce, int inAll) {
        mServer.setCopy(atOnce, inAll);
        HttpInstanceList list = new HttpInstanceList(mVertx, endpoint());
        for (int i = 0; i < 4; i++) {
            assertThat(list.instances().blockingGet()).containsExactly(member(i));
        }
    }
}
