package org.cornelway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * Passes the events of an attempt's connection to the attempt.
 *
 * <p>Invariant: an unexpected error ends the attempt if another one goes on with the call, else the
 * call, unless a head or a part of a body is passed on; then the connection reports it as a failure
 * of the attempt. Confined to the traffic thread.
 */
final class GuardedAttempt implements ResponseListener, UpstreamPool.AcquireListener {
    private final Attempt mAttempt;
    private final CallHandler mCallHandler;

    GuardedAttempt(Attempt attempt, CallHandler callHandler) {
        mAttempt = attempt;
        mCallHandler = callHandler;
    }

    private void run(Runnable step) {
        mCallHandler.guard().runSend(step, reason -> mCallHandler.endBesideOther(mAttempt, reason));
    }

    @Override
    public boolean accepts(UpstreamConnection connection) {
        return mAttempt.accepts(connection);
    }

    @Override
    public void onAcquired(UpstreamConnection connection) {
        use(connection, () -> mAttempt.onAcquired(connection));
    }

    /** Runs a step that uses a connection; an unexpected error closes it. */
    void use(UpstreamConnection connection, Runnable step) {
        run(
                () -> {
                    try {
                        step.run();
                    } catch (RuntimeException e) {
                        connection.close();
                        throw e;
                    }
                });
    }

    @Override
    public void onConnectFailed(String reason) {
        run(() -> mAttempt.onConnectFailed(reason));
    }

    @Override
    public Optional<NoticeReader> noticeReader() {
        return mAttempt.noticeReader();
    }

    @Override
    public void onHead(HttpResponse head) {
        mAttempt.onHead(head);
    }

    @Override
    public void onContent(ByteBuf content) {
        mAttempt.onContent(content);
    }

    @Override
    public void onEnd() {
        run(mAttempt::onEnd);
    }

    @Override
    public void onFailed(boolean sent, String reason) {
        run(() -> mAttempt.onFailed(sent, reason));
    }
}
