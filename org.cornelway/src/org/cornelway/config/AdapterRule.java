package org.cornelway.config;

import java.util.List;

/**
 * The adapters of one base model. Immutable.
 *
 * @param base the base model's name
 * @param bytes memory that each adapter takes, in bytes
 * @param names the adapters' names
 */
public record AdapterRule(String base, long bytes, List<String> names) {
    /** Copies the names; null becomes an empty list. */
    public AdapterRule {
        names = names == null ? List.of() : List.copyOf(names);
    }
}
