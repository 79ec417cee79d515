package org.cornelway.models;

import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;

/**
 * Receives events of an engine driver and supplies the term that its orders are sent under. Called
 * on the control thread.
 */
interface EngineListener {
    /**
     * A term of the controller: the holder's name and the fencing number that each order carries.
     */
    record Term(String holder, long fencingNumber) {}

    /** Returns the current term, or empty while no orders may be sent. */
    Optional<Term> term();

    /** An order or a report has changed what the engine holds or which orders it can take. */
    void onStateChanged(EngineDriver engine);

    /** An engine has refused an order because it has seen the fencing number of a later term. */
    void onFenced();

    /** An order call has ended, with or without a reply from the engine. */
    void onOrderReply(ServerRecord server, ServerOrder order, OrderReply reply);
}
