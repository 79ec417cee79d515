package org.cornelway.models;

import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;

/**
 * Receives events of an engine driver, and supplies the term under which the driver sends orders.
 * Called on the control thread, except {@link #term}.
 */
interface EngineListener {
    /**
     * A term of the controller. Each order carries both components.
     *
     * @param holder instance id of the controller
     * @param fencingNumber number of the term; an engine rejects an order with a lower number than
     *     one that it has seen
     */
    record Term(String holder, long fencingNumber) {}

    /** Returns the current term, or empty while no orders may be sent. Thread-safe. */
    Optional<Term> term();

    /** Called when the known state of an engine or of its orders may have changed. */
    void onStateChanged(EngineDriver engine);

    /**
     * Called when an engine has rejected an order because it has seen the fencing number of a later
     * term.
     */
    void onFenced();

    /**
     * Called when a report shows that a load from the checkpoint store has ended.
     *
     * @param expectedMillis duration of a load that does not compete with others
     * @param actualMillis time since the engine accepted the order
     * @param loadsAtBegin loads that read the store when it began, itself included
     * @param mostLoads largest number of loads that read the store at once during it
     */
    void onStoreLoadEnded(long expectedMillis, long actualMillis, int loadsAtBegin, int mostLoads);

    /** Returns the number of loads that engines are reading from the checkpoint store. */
    int runningStoreLoads();

    /**
     * Called when an attempt to send an order has ended, with or without a reply from the engine.
     */
    void onOrderReply(ServerRecord server, ServerOrder order, OrderReply reply);
}
