package org.cornelway.platform;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/**
 * The platform's rate-limited store of model checkpoints, from which the engines load models.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface CheckpointStore {
    /** Reads the size of a model's checkpoint in bytes; empty if the store has none. */
    Single<Optional<Long>> checkpointBytes(String model);
}
