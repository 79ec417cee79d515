package org.cornelway.platform;

/**
 * A key with its value at one revision. Immutable by convention: the value array is never modified.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of the key-value service at which the value was written, positive; of a
 *     service that can be restored, see {@link StoreRevision}
 */
public record KeyValue(String key, byte[] value, long revision) {}
