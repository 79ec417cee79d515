/**
 * Runs direct entries, which call backend servers themselves, on the loopback address with
 * stand-ins for the users' platform.
 */
package org.cornelway.bench.direct;
