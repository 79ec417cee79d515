/** Spreads the configuration and the placement to every process without a watch on each. */
package org.cornelway.relay;
