package org.cornelway.models;

import java.util.Optional;
import org.cornelway.directory.ServerRecord;
import org.cornelway.platform.OrderReply;
import org.cornelway.platform.ServerOrder;

/** What an engine's driver needs of its controller. Called on the control thread. */
interface EngineListener {
    /** A term of the controller: the name and number that orders are given under. */
    record Term(String holder, long fencingNumber) {}

    /** The right to give orders at this moment, or empty. */
    Optional<Term> term();

    /** An order or a report changed what the engine holds or can take. */
    void onStateChanged(EngineDriver engine);

    /** An engine has taken orders of a later term. */
    void onFenced();

    /** An order was answered, or not. */
    void onOrderReply(ServerRecord server, ServerOrder order, OrderReply reply);
}
