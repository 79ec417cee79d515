/**
 * Membership of the entries that call backend servers directly, their synchronization with the
 * key-value service, and the election of the controller among them.
 */
package org.cornelway.cluster;
