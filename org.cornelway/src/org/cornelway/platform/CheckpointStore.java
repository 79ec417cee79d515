package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** The platform's rate-limited store of checkpoints, from which the engines load. Thread-safe. */
@FunctionalInterface
public interface CheckpointStore {
    /** Size of a model's checkpoint in bytes, or empty when the store has none. */
    Single<Optional<Long>> checkpointBytes(String model);
}
