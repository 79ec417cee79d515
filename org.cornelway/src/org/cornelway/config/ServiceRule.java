package org.cornelway.config;

import java.util.List;

/**
 * A plain service that requests are routed to. Immutable.
 *
 * @param name the service's name, which follows {@code /services/} in the path of a request
 * @param repeatable calls other than GET, HEAD and OPTIONS that may be sent more than once, each
 *     written as a method and a path prefix such as {@code POST /search}
 */
public record ServiceRule(String name, List<String> repeatable) {
    /** Copies the list; null counts as an empty list. */
    public ServiceRule {
        repeatable = repeatable == null ? List.of() : List.copyOf(repeatable);
    }

    /**
     * Whether a call may be sent more than once: true for GET, HEAD and OPTIONS, and for the calls
     * in the list.
     *
     * @param path path with query, without {@code /services/} and the service's name
     */
    public boolean isRepeatable(String method, String path) {
        if (method.equals("GET") || method.equals("HEAD") || method.equals("OPTIONS")) {
            return true;
        }
        String call = method + " " + path;
        return repeatable.stream().anyMatch(call::startsWith);
    }
}
