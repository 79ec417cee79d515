package org.cornelway.platform;

/**
 * A key with the revision of its value. Immutable.
 *
 * @param key the key
 * @param revision revision of the service at which the value was written
 */
public record KeyRevision(String key, long revision) {}
