package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import java.util.List;

/** The platform's lagging list of live and leaving instances. Thread-safe. */
@FunctionalInterface
public interface InstanceList {
    /** The instances as the platform sees them now, with a lag. */
    Single<List<Member>> instances();
}
