package org.cornelway.platform;

import java.util.List;

/**
 * Changes up to a revision. Immutable.
 *
 * @param changes the changes, oldest first
 * @param revision nothing up to this revision is missing
 * @param complete true for a listing: a key that it lacks does not exist
 */
public record ChangePage(List<Change> changes, long revision, boolean complete) {}
