package org.cornelway.overload;

/**
 * How often the calls of one kind are served in comparison to the other kinds of its service.
 * Immutable.
 *
 * @param isEndangered whether it is served so much less often than all that it needs precedence
 * @param isOtherEndangered whether another kind is
 * @param isAhead whether a more urgent kind is served less often, by more than may be
 */
public record KindStanding(boolean isEndangered, boolean isOtherEndangered, boolean isAhead) {
    /** The standing of a kind that is served as often as it should be. */
    public static final KindStanding NORMAL = new KindStanding(false, false, false);
}
