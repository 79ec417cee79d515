package org.cornelway.role;

import java.util.Optional;
import org.cornelway.directory.ServerRecord;

/** Reads what a backend server announces from its stored form. Stateless and thread-safe. */
@FunctionalInterface
public interface ServerRecordDecoder {
    /** The record; empty if the value names no server. */
    Optional<ServerRecord> decode(String id, byte[] value);
}
