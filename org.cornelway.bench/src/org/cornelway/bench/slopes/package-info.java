/** Measures how the resource usage of each process grows with the fleet and the configuration. */
package org.cornelway.bench.slopes;
