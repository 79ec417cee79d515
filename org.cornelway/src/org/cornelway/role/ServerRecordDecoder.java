package org.cornelway.role;

import java.util.Optional;
import org.cornelway.directory.ServerRecord;

/** Decodes the stored announcement of a backend server. Stateless and thread-safe. */
@FunctionalInterface
public interface ServerRecordDecoder {
    /**
     * Returns the record, or empty if the value is malformed.
     *
     * @param id id of the server, which is part of the key and not of the value
     */
    Optional<ServerRecord> decode(String id, byte[] value);
}
