package org.cornelway.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the first server that has not been tried yet, or the first one if all were tried. Tests
 * use it as the baseline that other choosers are compared with. Pure and thread-safe.
 */
public final class FirstUntriedChooser implements ServerChooser {
    @Override
    public Optional<Candidate> choose(List<Candidate> candidates, CallNeeds needs) {
        return candidates.stream()
                .filter(each -> !needs.tried().contains(each.server().id()))
                .findFirst()
                .or(() -> candidates.stream().findFirst());
    }
}
