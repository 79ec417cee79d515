package org.cornelway.bench.soak;

import io.reactivex.rxjava3.core.Scheduler;
import org.cornelway.intent.IntentLog;
import org.cornelway.platform.KeyValueStore;

/** Makes the intent log of one agent. */
@FunctionalInterface
public interface IntentLogFactory {
    /** Makes a log over a store. */
    IntentLog create(KeyValueStore store, Scheduler control);
}
