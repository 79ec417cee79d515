package org.cornelway.directory;

/**
 * One incarnation of a backend server: a restart under the same id is a new one. Immutable.
 *
 * @param id id of the server
 * @param startedMillis when this incarnation started, in milliseconds since the epoch
 */
public record ServerIncarnation(String id, long startedMillis) {
    /** Keeps the former type and field names, which tools match in "model.answered" events. */
    @Override
    public String toString() {
        return "ServerLife[id=" + id + ", bornMillis=" + startedMillis + "]";
    }
}
