package org.cornelway.role;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.cornelway.traffic.ModelRequester;

/**
 * Delegates to a requester that is set later, because that requester needs the traffic plane, which
 * needs a requester when it is created.
 *
 * <p>Thread-safe.
 */
final class DelegatingModelRequester implements ModelRequester {
    private volatile Optional<ModelRequester> mDelegate = Optional.empty();

    /** Sets the delegate; called before the first request. */
    void setDelegate(ModelRequester delegate) {
        mDelegate = Optional.of(delegate);
    }

    @Override
    public void requestModel(Request request, LongConsumer tooLate) {
        mDelegate.orElseThrow().requestModel(request, tooLate);
    }
}
