/**
 * Forwards calls from callers to backend servers and returns the responses.
 *
 * <p>Unless a class says otherwise, its code runs on a single event loop, the traffic thread. The
 * traffic thread reads immutable snapshots of the state that the control thread publishes.
 */
package org.cornelway.traffic;
