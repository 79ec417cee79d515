package org.cornelway.overload;

import java.util.Optional;
import org.cornelway.time.Deadline;

/** What happens to a call that has not been sent. */
public sealed interface Decision {
    /**
     * The call is sent now.
     *
     * @param enginePriority its priority at an engine
     */
    record Send(int enginePriority) implements Decision {}

    /**
     * The call waits here.
     *
     * @param until how long at most
     * @param givesWay a waiting call that is refused to make room for this one
     */
    record Wait(Deadline until, Optional<PendingCall> givesWay) implements Decision {}

    /**
     * The call is refused.
     *
     * @param reason why, for the log
     * @param waitMillis expected wait until it would begin
     * @param limitMillis wait up to which it would have been sent
     * @param retryAfterMillis after what time it can be served if no other calls arrive
     */
    record Refuse(String reason, long waitMillis, long limitMillis, long retryAfterMillis)
            implements Decision {}
}
