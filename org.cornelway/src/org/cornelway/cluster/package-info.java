/**
 * Membership of the entries, synchronization with the key-value service, and election of the
 * controller.
 */
package org.cornelway.cluster;
