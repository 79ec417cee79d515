package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Scheduler;
import org.cornelway.intent.IntentLog;
import org.cornelway.platform.KeyValueStore;

/** Creates the intent log of one agent. */
@FunctionalInterface
public interface IntentLogFactory {
    /**
     * Creates an intent log.
     *
     * @param store key-value service for the log's records
     * @param control scheduler of the agent's control thread
     */
    IntentLog create(KeyValueStore store, Scheduler control);
}
