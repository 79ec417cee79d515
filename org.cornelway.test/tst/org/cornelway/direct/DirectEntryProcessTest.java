package org.cornelway.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.cornelway.bench.LoopbackHttp.Reply;
import org.cornelway.bench.ProcessFleet;
import org.cornelway.bench.direct.DirectFleet;
import org.cornelway.standin.platform.BackendServerStandin.Fault;
import org.testng.annotations.Test;

/** One entry as a real process: each kind of call, and each way in which a server fails it. */
public class DirectEntryProcessTest extends DirectTestBase {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    @Test
    public void servesEachKind() {
        assertThat(call("/safe/a", "x").body()).isEqualTo("done x");
        assertThat(call("/unsafe/a", "x").body()).isEqualTo("done x");
        assertWholeStream(stream("/resume/a", "m1"));
        assertWholeStream(stream("/stream/a", "m1"));
        assertThat(call("/nowhere/a", "x").status()).isEqualTo(NOT_FOUND);
    }

    @Test
    public void loadsModelAndAdapterOnDemand() {
        assertWholeStream(stream("/stream/a", "m3"));
        assertWholeStream(stream("/stream/a", "m2/a1"));
    }

    @Test
    public void unsafeCallIsSentOnceWhenItsAnswerIsLost() {
        fleet().server("p1").fail(Fault.CLOSE);
        fleet().server("p2").fail(Fault.CLOSE);
        Reply reply = call("/unsafe/a", "x");
        assertThat(reply.status()).isEqualTo(BAD_GATEWAY);
        assertThat(ran("p1") + ran("p2")).isEqualTo(1);
    }

    @Test
    public void unsafeCallGoesOnAfterProofThatItDidNotRun() {
        fleet().server("p1").fail(Fault.FULL);
        for (int i = 0; i < 4; i++) {
            assertThat(call("/unsafe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(ran("p1")).isZero();
        assertThat(ran("p2")).isEqualTo(4);
    }

    @Test
    public void refusalIsTrueWhenNoServerRanTheCall() {
        fleet().server("p1").fail(Fault.FULL);
        fleet().server("p2").fail(Fault.FULL);
        assertThat(call("/unsafe/a", "x").status()).isEqualTo(UNAVAILABLE);
        assertThat(ran("p1") + ran("p2")).isZero();
    }

    @Test
    public void safeCallIsRepeatedElsewhere() {
        fleet().server("p1").fail(Fault.ERROR);
        for (int i = 0; i < 4; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
    }

    @Test
    public void lastFailureOfServersReachesTheCaller() {
        fleet().server("p1").fail(Fault.ERROR);
        fleet().server("p2").fail(Fault.ERROR);
        assertThat(call("/safe/a", "x").body()).isEqualTo("failed");
    }

    @Test
    public void answerToAnotherRequestIsDropped() {
        fleet().server("p1").fail(Fault.EXTRA);
        fleet().server("p2").fail(Fault.EXTRA);
        for (int i = 0; i < 3; i++) {
            assertThat(call("/unsafe/a", "x" + i).body()).isEqualTo("done x" + i);
        }
    }

    @Test
    public void brokenOffAnswerIsNotPassedOn() {
        fleet().server("p1").fail(Fault.CUT);
        fleet().server("p2").fail(Fault.CUT);
        assertThat(call("/unsafe/a", "x").status()).isEqualTo(BAD_GATEWAY);
    }

    @Test
    public void resumableStreamGoesOnAtAnotherServer() {
        fleet().server("e1").fail(Fault.CUT);
        for (int i = 0; i < 4; i++) {
            assertWholeStream(stream("/resume/a", "m1"));
        }
    }

    @Test
    public void streamThatMayNotBeResumedIsCutVisibly() {
        fleet().server("e1").fail(Fault.CUT);
        fleet().server("e2").fail(Fault.CUT);
        assertThatThrownBy(() -> stream("/stream/a", "m1"))
                .isInstanceOf(IllegalStateException.class);
        assertThat(ran("e1") + ran("e2")).isEqualTo(1);
    }

    @Test
    public void pausingStreamIsNotCut() {
        fleet().server("e1").stream(EVENTS, 1_300);
        assertWholeStream(stream("/resume/a", "m2"));
        assertThat(ran("e1")).isEqualTo(1);
    }

    @Test
    public void drainingServerGetsNothingNew() {
        fleet().announce(DirectFleet.PLAIN, "p1", "draining", 2);
        ProcessFleet.await(
                "drain",
                () -> {
                    long before = ran("p1");
                    for (int i = 0; i < 6; i++) {
                        call("/safe/a", "x");
                    }
                    return ran("p1") == before;
                });
        long before = ran("p1");
        for (int i = 0; i < 10; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(ran("p1")).isEqualTo(before);
    }

    @Test
    public void olderAnnouncementDoesNotEndDrain() {
        fleet().announce(DirectFleet.PLAIN, "p1", "draining", 5);
        ProcessFleet.await(
                "drain",
                () -> {
                    long before = ran("p1");
                    for (int i = 0; i < 6; i++) {
                        call("/safe/a", "x");
                    }
                    return ran("p1") == before;
                });
        fleet().announce(DirectFleet.PLAIN, "p1", "ready", 4);
        fleet().announce(DirectFleet.PLAIN, "p2", "draining", 5);
        ProcessFleet.await("no server", () -> call("/safe/a", "x").status() == UNAVAILABLE);
    }

    @Test
    public void changedRouteIsFollowed() {
        fleet().configure(
                        routes ->
                                DirectFleet.route(routes, "/added/", "safe", DirectFleet.PLAIN, 2));
        ProcessFleet.await("new route", () -> call("/added/a", "x").status() == OK);
    }

    @Test
    public void deadlineLeftIsTold() {
        call("/safe/a", "x");
        long left =
                Long.parseLong(
                        java.util.stream.Stream.of("p1", "p2")
                                .flatMap(id -> fleet().server(id).arrivals().stream())
                                .findFirst()
                                .orElseThrow()
                                .header("x-deadline-ms"));
        assertThat(left).isBetween(1L, 5_000L);
    }

    @Test
    public void answersWhileItDrainsAndThenEnds() {
        fleet().server("e1").stream(EVENTS, 300);
        fleet().server("e2").stream(EVENTS, 300);
        CompletableFuture<Reply> open =
                fleet().http()
                        .send("POST", fleet().front(0), "/stream/a", "p", headers(newId(), "m1"));
        ProcessFleet.await("stream", () -> ran("e1") + ran("e2") == 1);
        fleet().signal(0, "TERM");
        ProcessFleet.await("drain", () -> !fleet().http().isOk(fleet().ready(0), "/ready"));
        assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        assertWholeStream(open.join());
        assertThat(fleet().entry(0).onExit().join().exitValue()).isEqualTo(143);
    }

    @Test
    public void idleConnectionIsClosedWhileTheDrainWaitsForStreams() throws IOException {
        fleet().server("e1").stream(EVENTS, 1_300);
        CompletableFuture<Reply> open =
                fleet().http()
                        .send("POST", fleet().front(0), "/stream/a", "p", headers(newId(), "m2"));
        ProcessFleet.await("stream", () -> ran("e1") == 1);
        try (Socket idle = new Socket("127.0.0.1", fleet().front(0))) {
            fleet().signal(0, "TERM");
            idle.setSoTimeout(20_000);
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            assertThat(open).isNotDone();
        }
        assertWholeStream(open.join());
    }

    @Test
    public void waitingCallIsRefusedBeforeTheProcessEnds() {
        fleet().server("e1").fail(Fault.FULL);
        CompletableFuture<Reply> waiting =
                fleet().http()
                        .send(
                                "POST",
                                fleet().front(0),
                                "/stream/a",
                                "p",
                                headers(newId(), "m2/a1"));
        fleet().server("e2").fail(Fault.MUTE);
        CompletableFuture<Reply> running =
                fleet().http().send("POST", fleet().front(0), "/safe/a", "p", headers(newId(), ""));
        assertThat(running.join().status()).isEqualTo(OK);
        fleet().signal(0, "TERM");
        assertThat(waiting.join().status()).isEqualTo(UNAVAILABLE);
        assertThat(ran("e1")).isZero();
    }

    @Test
    public void mutedCallIsAnsweredBeforeTheProcessEnds() {
        fleet().server("e1").fail(Fault.MUTE);
        fleet().server("e2").fail(Fault.MUTE);
        CompletableFuture<Reply> mute =
                fleet().http()
                        .send("POST", fleet().front(0), "/stream/a", "p", headers(newId(), "m1"));
        ProcessFleet.await("send", () -> ran("e1") + ran("e2") == 1);
        fleet().signal(0, "TERM");
        assertThat(mute.join().status()).isEqualTo(BAD_GATEWAY);
    }

    @Test
    public void hangUpSignalDoesNotEndTheProcess() {
        fleet().signal(0, "HUP");
        for (int i = 0; i < 5; i++) {
            assertThat(call("/safe/a", "x").status()).isEqualTo(OK);
        }
        assertThat(fleet().entry(0).isAlive()).isTrue();
    }
}
