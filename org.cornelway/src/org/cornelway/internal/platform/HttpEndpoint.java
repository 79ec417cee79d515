package org.cornelway.internal.platform;

/**
 * Host and port of an HTTP server. Immutable.
 *
 * @param host host name or IP address
 * @param port TCP port
 */
public record HttpEndpoint(String host, int port) {
    /**
     * Parses an address of the form {@code host:port}.
     *
     * @throws IllegalArgumentException if the address does not have this form
     */
    public static HttpEndpoint parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException(
                    "'" + address + "' is not an address of the form host:port");
        }
        return new HttpEndpoint(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
