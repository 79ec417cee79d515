package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import org.cornelway.result.Result;

/** A plain service beside the model engines. Thread-safe. */
@FunctionalInterface
public interface PlainService {
    /**
     * Sends a call once; there is no retry inside. Never fails: a refusal says whether the call may
     * have run.
     */
    Single<Result<PlainResponse>> call(PlainCall call);
}
