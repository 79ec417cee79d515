package org.cornelway.platform;

import java.util.List;

/**
 * The changes up to a revision. Immutable.
 *
 * @param changes the changes, oldest first
 * @param revision revision up to which no change is missing
 * @param complete true for a listing: keys that are not in it do not exist
 */
public record ChangePage(List<Change> changes, long revision, boolean complete) {}
