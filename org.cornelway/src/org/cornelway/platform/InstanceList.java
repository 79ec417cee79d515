package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import java.util.List;

/**
 * The platform's list of live and leaving instances. The list lags behind the actual state.
 * Thread-safe.
 */
@FunctionalInterface
public interface InstanceList {
    /** Returns the instances that the platform lists now. */
    Single<List<Member>> instances();
}
