package org.cornelway.config;

import java.util.List;

/**
 * A plain service that requests are routed to. Immutable.
 *
 * @param name the service's name, first segment of the routed path
 * @param repeatable calls other than GET, HEAD and OPTIONS that may be repeated, each written as a
 *     method and a path prefix such as {@code POST /search}
 */
public record ServiceRule(String name, List<String> repeatable) {
    /** Copies the list. */
    public ServiceRule {
        repeatable = repeatable == null ? List.of() : List.copyOf(repeatable);
    }

    /** Whether a call may be sent more than once. */
    public boolean isRepeatable(String method, String path) {
        if (method.equals("GET") || method.equals("HEAD") || method.equals("OPTIONS")) {
            return true;
        }
        String call = method + " " + path;
        return repeatable.stream().anyMatch(call::startsWith);
    }
}
