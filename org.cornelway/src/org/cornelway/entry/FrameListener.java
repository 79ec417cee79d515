package org.cornelway.entry;

import org.cornelway.rpc.Frame;

/** Receives what comes back on one call to an agent. Called on any thread. */
public interface FrameListener {
    /** Receives a frame. */
    void onFrame(Frame frame);

    /**
     * The call ended; ignored after the final mark.
     *
     * @param notSent whether no byte of the request can have left
     */
    void onCallFailed(boolean notSent, String reason);
}
