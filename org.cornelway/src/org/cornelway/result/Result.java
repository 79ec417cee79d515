package org.cornelway.result;

import java.util.Optional;
import java.util.function.Function;

/**
 * Result of an operation: its value, or a refusal that says why there is none.
 *
 * <p>Immutable if the value is.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {
    /** Success, with the value. */
    record Ok<T>(T value) implements Result<T> {}

    /** Failure, with the refusal that says why there is no value. */
    record Failed<T>(Refusal refusal) implements Result<T> {}

    /** Creates a success with a value. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Creates a failure with the refusal for a code. */
    static <T> Result<T> failed(ResultCode code, String message) {
        return new Failed<>(Refusal.of(code, message));
    }

    /** Returns the value, or empty on failure. */
    default Optional<T> toOptional() {
        return this instanceof Ok<T> ok ? Optional.of(ok.value()) : Optional.empty();
    }

    /** Returns the refusal, or empty on success. */
    default Optional<Refusal> failure() {
        return this instanceof Failed<T> failed ? Optional.of(failed.refusal()) : Optional.empty();
    }

    /** Returns the result with the function applied to the value; a failure stays the same. */
    default <R> Result<R> map(Function<T, R> function) {
        if (this instanceof Ok<T> ok) {
            return new Ok<>(function.apply(ok.value()));
        }
        return new Failed<>(((Failed<T>) this).refusal());
    }
}
