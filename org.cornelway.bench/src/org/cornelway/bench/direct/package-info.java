/** The users' platform on loopback: stand-ins and entries that call backend servers themselves. */
package org.cornelway.bench.direct;
