package org.cornelway.platform;

import java.util.Optional;

/**
 * A write to the key-value service, or a key's end. Immutable by convention.
 *
 * @param key the key
 * @param revision revision of the write or of the end
 * @param value the value; empty when the key ended
 */
public record Change(String key, long revision, Optional<byte[]> value) {}
