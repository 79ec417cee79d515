/** Long random runs of the decision logic in virtual time, with small fakes at the ports. */
package org.cornelway.bench.soak;
