package org.cornelway.platform;

import java.util.Optional;

/**
 * A write or a deletion of a key in the key-value service. Immutable by convention.
 *
 * @param key the key
 * @param revision revision of the write or of the deletion
 * @param value the value; empty if the key was deleted
 */
public record Change(String key, long revision, Optional<byte[]> value) {}
