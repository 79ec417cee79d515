package org.cornelway.platform;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

/** Client of a model engine. Thread-safe. */
public interface ModelEngine {
    /** Reads which models the engine holds now. */
    Single<EngineStatus> status();

    /**
     * Sends an order and waits for its outcome. Never fails: a failure is returned as an outcome.
     */
    Single<OrderOutcome> order(EngineOrder order);

    /**
     * Runs a completion. Emits the JSON of one event at a time and completes only after the
     * engine's end-of-stream marker. Cancelling the subscription cancels the request in the engine.
     */
    Flowable<byte[]> runCompletion(CompletionCall call);
}
