package org.cornelway.models;

import org.cornelway.directory.ServerIncarnation;

/**
 * Tells which engines take fewer calls than they have places for. Implementations are confined to
 * the control thread.
 */
public interface EngineLimits {
    /** No engine has a limit. */
    EngineLimits NONE =
            new EngineLimits() {
                @Override
                public boolean isLimited(ServerIncarnation engine) {
                    return false;
                }

                @Override
                public boolean hasPermit(ServerIncarnation engine, long nowMillis) {
                    return true;
                }
            };

    /** Whether an engine has named a limit on the rate of its calls. */
    boolean isLimited(ServerIncarnation engine);

    /** Whether a limited engine takes another call now. */
    boolean hasPermit(ServerIncarnation engine, long nowMillis);
}
