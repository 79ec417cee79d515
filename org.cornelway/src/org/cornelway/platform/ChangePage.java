package org.cornelway.platform;

import java.util.List;

/**
 * A listing of keys, or the changes between two revisions. Immutable by convention.
 *
 * @param changes the changes, oldest first; for a listing, one change for each key, in any order
 * @param revision revision up to which no change is missing
 * @param complete true for a listing: keys that are not in it do not exist
 */
public record ChangePage(List<Change> changes, long revision, boolean complete) {}
