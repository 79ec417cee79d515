/** Measures how the cost of control per process grows with the fleet and the configuration. */
package org.cornelway.bench.slopes;
