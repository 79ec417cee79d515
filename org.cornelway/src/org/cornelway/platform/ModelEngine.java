package org.cornelway.platform;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

/** A model engine. Thread-safe. */
public interface ModelEngine {
    /** What the engine holds now. */
    Single<EngineStatus> status();

    /** Carries out an order; never fails, failures are outcomes. */
    Single<OrderOutcome> order(EngineOrder order);

    /**
     * Runs a completion; emits one event's JSON at a time and completes only after the engine's
     * final mark. Cancelling cancels the work in the engine.
     */
    Flowable<byte[]> complete(CompletionCall call);
}
