package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.result.Result;

/** Client of a plain service, which is a backend server other than a model engine. Thread-safe. */
@FunctionalInterface
public interface PlainService {
    /**
     * Sends a call once, without retries. The Single never signals an error: a failed call is a
     * result whose code says whether the call may have run.
     */
    Single<Result<PlainResponse>> call(PlainCall call);
}
