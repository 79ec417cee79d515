package org.cornelway.directory;

/**
 * One life of a backend server: a restart under the same id is another life. Immutable.
 *
 * @param id id of the server
 * @param bornMillis start of this life, milliseconds since the epoch
 */
public record ServerLife(String id, long bornMillis) {}
