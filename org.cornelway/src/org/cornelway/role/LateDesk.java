package org.cornelway.role;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.traffic.ModelDesk;

/** Passes wishes on to a desk that is made after the traffic thread. Thread-safe. */
final class LateDesk implements ModelDesk {
    private volatile Optional<ModelDesk> mDesk = Optional.empty();

    /** Sets the desk; called before the first call comes in. */
    void attach(ModelDesk desk) {
        mDesk = Optional.of(desk);
    }

    @Override
    public void ask(Wish wish, LongConsumer tooLate) {
        mDesk.orElseThrow().ask(wish, tooLate);
    }
}
