package org.cornelway.route;

/**
 * A key by which a customer's calls are recognized. Immutable.
 *
 * <p>Invariant: the key does not appear in its text form, so that it reaches no log, metric or
 * message of an exception.
 *
 * @param value the secret
 */
public record CustomerKey(String value) {
    @Override
    public String toString() {
        return "CustomerKey[hidden]";
    }
}
