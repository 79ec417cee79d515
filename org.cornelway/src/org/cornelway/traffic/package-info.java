/**
 * Forwards calls from callers to backend servers and returns the responses.
 *
 * <p>Unless a class says otherwise, its code runs on a single event loop, the traffic thread. It
 * reads immutable snapshots of what the control thread decides.
 */
package org.cornelway.traffic;
