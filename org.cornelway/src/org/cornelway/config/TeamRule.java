package org.cornelway.config;

import java.util.List;

/**
 * The key and the permissions of one team. Immutable.
 *
 * @param name the team's name
 * @param keySha256 SHA-256 of the team's key, in lower-case hexadecimal
 * @param allowed models and services that the team may call, or {@code *} for all
 * @param maxWaiting maximum number of requests that the team may have open at one entry
 */
public record TeamRule(String name, String keySha256, List<String> allowed, int maxWaiting) {
    /** Copies the list; a rule without a list allows all models and services. */
    public TeamRule {
        allowed = allowed == null ? List.of("*") : List.copyOf(allowed);
    }

    /** Whether the team may call a model or service. */
    public boolean allows(String target) {
        return allowed.contains("*") || allowed.contains(target);
    }
}
