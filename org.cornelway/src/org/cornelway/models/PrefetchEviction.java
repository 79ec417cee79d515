package org.cornelway.models;

/**
 * Decides whether the load of a model that no call waits for may evict another model.
 *
 * <p>Meant for fleets with more models than places and few or no calls. Invariant: as long as the
 * call rates do not change, an allowed eviction that takes a copy away raises the total rate of the
 * models that have a copy, or evens out the numbers of copies without taking the last copy of a
 * model. Models can therefore not replace each other for ever. Pure and thread-safe.
 */
final class PrefetchEviction {
    /**
     * A model takes the place of another model's last copy only if its call rate is more than this
     * many times as high, since the rates of a few calls vary.
     */
    private static final double MIN_RATE_RATIO = 2;

    /**
     * A model with its copies and demand. Immutable.
     *
     * @param copies number of engines that hold, load or have cached the model
     * @param callsPerSecond call rate of the model
     * @param hasCalls whether the model counts as called at present
     */
    record ModelUse(int copies, double callsPerSecond, boolean hasCalls) {}

    private PrefetchEviction() {}

    /**
     * Returns whether the eviction is allowed. A model with calls does not give way to one without.
     * If the eviction takes a copy away, the evicted model must keep at least as many copies as the
     * loaded model then has, or the loaded model must have no copy yet and many more calls.
     *
     * @param keepsCopy whether the engine has the evicted model's weights cached
     */
    static boolean isAllowed(ModelUse loaded, ModelUse evicted, boolean keepsCopy) {
        if (evicted.hasCalls() && !loaded.hasCalls()) {
            return false;
        }
        if (keepsCopy || evicted.copies() - 1 >= loaded.copies() + 1) {
            return true;
        }
        return loaded.copies() == 0
                && loaded.callsPerSecond() > MIN_RATE_RATIO * evicted.callsPerSecond();
    }
}
