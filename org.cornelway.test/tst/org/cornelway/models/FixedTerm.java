package org.cornelway.models;

import java.util.Optional;

/** A term of the controller that does not end. Immutable. */
final class FixedTerm implements ModelController.TermSource {
    private static final long FENCING_NUMBER = 7;

    @Override
    public Optional<Long> fencingNumber() {
        return Optional.of(FENCING_NUMBER);
    }

    @Override
    public String holder() {
        return "self";
    }

    @Override
    public void onFenced() {}
}
