package org.cornelway.entry;

import org.cornelway.rpc.Frame;

/** Receives the frames of one call to an agent. The methods may be called on any thread. */
public interface FrameListener {
    /** Receives the next frame of the call. */
    void onFrame(Frame frame);

    /**
     * Reports that the call has ended, with or without an error. Implementations ignore this if
     * they have received the final frame.
     *
     * @param notSent whether it is certain that no byte of the request was sent
     * @param reason why the call ended
     */
    void onCallEnded(boolean notSent, String reason);
}
