/**
 * Distributes the configuration and the placement to all processes without a watch in each of them.
 */
package org.cornelway.relay;
