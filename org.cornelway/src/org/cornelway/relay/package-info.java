/**
 * Distributes the configuration and the placement to all processes, of which only a few watch the
 * key-value service.
 */
package org.cornelway.relay;
