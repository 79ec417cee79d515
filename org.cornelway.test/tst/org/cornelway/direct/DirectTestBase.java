package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.cornelway.RepositoryFiles;
import org.cornelway.bench.LoopbackHttpClient.Header;
import org.cornelway.bench.LoopbackHttpClient.Response;
import org.cornelway.bench.direct.DirectFleet;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of the tests of direct entries.
 *
 * <p>Before each test, starts the entries as separate processes, and stand-ins for the users'
 * platform in the process of the test. Stops all of them after the test.
 */
public abstract class DirectTestBase {
    static final int OK = 200;

    /** Number of events in a stream of the stand-ins, unless a test configures another number. */
    static final int EVENTS = 5;

    private DirectFleet mFleet;

    /** Returns the number of entries to start: 1 unless a subclass overrides this method. */
    int entryCount() {
        return 1;
    }

    /** Called before the entries are started; a subclass may change the fleet. */
    void prepareFleet(DirectFleet fleet) {}

    /** Starts the entries, all at once unless a subclass overrides this method. */
    void startEntries(DirectFleet fleet) {
        for (int i = 0; i < entryCount(); i++) {
            fleet.startEntry(i);
        }
        for (int i = 0; i < entryCount(); i++) {
            fleet.awaitReady(i);
        }
    }

    @BeforeMethod
    public final void startFleet() {
        mFleet = new DirectFleet(RepositoryFiles.root(), entryCount());
        mFleet.addServer(DirectFleet.PLAIN_SERVICE, "p1");
        mFleet.addServer(DirectFleet.PLAIN_SERVICE, "p2");
        mFleet.addServer(DirectFleet.ENGINE_SERVICE, "e1", "m1", "m2");
        mFleet.addServer(DirectFleet.ENGINE_SERVICE, "e2", "m1");
        mFleet.configure();
        prepareFleet(mFleet);
        startEntries(mFleet);
    }

    @AfterMethod(alwaysRun = true)
    public final void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
            mFleet = null;
        }
    }

    final DirectFleet fleet() {
        return mFleet;
    }

    /**
     * Returns the headers of a call with a deadline of 10 s.
     *
     * @param model the model, or the empty string for a call without a model
     */
    static Header[] headers(String requestId, String model) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Host", DirectFleet.HOST));
        headers.add(new Header("X-Request-Id", requestId));
        headers.add(new Header("X-Deadline-Ms", "10000"));
        if (!model.isEmpty()) {
            headers.add(new Header("X-Model", model));
        }
        return headers.toArray(Header[]::new);
    }

    static String newRequestId() {
        return UUID.randomUUID().toString();
    }

    /** Sends a call without a model through the first entry. */
    final Response call(String path, String body) {
        return fleet().http()
                .call("POST", fleet().frontPort(0), path, body, headers(newRequestId(), ""));
    }

    /** Sends a call for a model through the first entry; returns when the response has ended. */
    final Response stream(String path, String model) {
        return fleet().http()
                .call("POST", fleet().frontPort(0), path, "p", headers(newRequestId(), model));
    }

    /** Returns the number of calls that a server executed. */
    final long executedCalls(String server) {
        return fleet().backendServer(server).receivedCalls().stream()
                .filter(call -> call.executed())
                .count();
    }

    /** Asserts that a stream contains each event exactly once and in order. */
    static void assertCompleteStream(Response response) {
        assertThat(response.status()).as(response.body()).isEqualTo(OK);
        List<String> ids = response.body().lines().filter(line -> line.startsWith("id: ")).toList();
        List<String> expected = new ArrayList<>();
        for (int i = 1; i <= EVENTS; i++) {
            expected.add("id: " + i);
        }
        assertThat(ids).isEqualTo(expected);
    }
}
