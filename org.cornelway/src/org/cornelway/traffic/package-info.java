/**
 * The path of a call from its caller to a backend server and back.
 *
 * <p>Everything here runs on one event loop, the traffic thread. It reads immutable snapshots of
 * what the control thread decides.
 */
package org.cornelway.traffic;
