package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import java.util.List;

/**
 * The platform's list of live and leaving instances, which lags behind the actual state.
 * Thread-safe.
 */
@FunctionalInterface
public interface InstanceList {
    /** Reads the instances as the platform lists them now. */
    Single<List<Member>> instances();
}
