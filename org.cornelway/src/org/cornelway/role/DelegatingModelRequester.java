package org.cornelway.role;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.traffic.ModelRequester;

/** Passes wishes on to a desk that is made after the traffic thread. Thread-safe. */
final class DelegatingModelRequester implements ModelRequester {
    private volatile Optional<ModelRequester> mDesk = Optional.empty();

    /** Sets the desk; called before the first call comes in. */
    void setDelegate(ModelRequester desk) {
        mDesk = Optional.of(desk);
    }

    @Override
    public void requestModel(Request wish, LongConsumer tooLate) {
        mDesk.orElseThrow().requestModel(wish, tooLate);
    }
}
